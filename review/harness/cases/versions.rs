//! ORDER: a worker starts again under its id with another software version, and its announcements
//! are late.

use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{MODEL, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::Fleet;
use crate::http::{attempt_id, read_chunk, read_head, send};
use crate::record::Record;
use crate::worker::{Work, Worker};

/// Time by which the announcements of the new process are late, in milliseconds.
const LATE_MS: u64 = 4_000;

/// Time from the start of the new process to its end, in milliseconds.
const LIFE_MS: u64 = 3_000;

/// Number of streams that begin after the restart.
const STREAMS: usize = 40;

/// Number of streams with events of two versions from which the rule is broken.
const MAX_MIXED: usize = 2;

/// Events that one client has received for one stream, over its tries.
#[derive(Debug, Default)]
struct Received {
    versions: Vec<String>,
    last_event: u32,
    is_complete: bool,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 0)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    let work = Work::Stream(60, 100);
    // Two versions of the software serve side by side.
    let first = start_worker(
        &fleet,
        record,
        &arrivals,
        lifetime(&fleet, 1, MODEL, "v1", work),
    )?;
    start_worker(
        &fleet,
        record,
        &arrivals,
        lifetime(&fleet, 2, MODEL, "v1", work),
    )?;
    start_worker(
        &fleet,
        record,
        &arrivals,
        lifetime(&fleet, 3, MODEL, "v2", work),
    )?;
    fleet.wait_ready(record)?;
    sleep_ms(5_000);

    // The worker starts again under its id, with the version that is being rolled out.
    first.crash();
    sleep_ms(300);
    let reborn = Worker::start(lifetime(&fleet, 1, MODEL, "v2", work), record, &arrivals)?;
    let controls = fleet.controls();
    if has_trouble {
        let (reborn, record, controls) = (reborn.clone(), record.clone(), controls.clone());
        let late: Vec<String> = (0..3).map(|_| reborn.next_beat("ready")).collect();
        std::thread::spawn(move || {
            sleep_ms(LATE_MS);
            record.note("the late announcements of the new process arrive");
            for beat in late {
                reborn.send_beat(&controls, &beat);
            }
        });
    } else {
        reborn.keep_announcing(controls, || true);
    }
    sleep_ms(200);
    let results: Arc<Mutex<Vec<Received>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let front = fleet.machines[number % fleet.machines.len()].front();
            let other = fleet.machines[(number + 1) % fleet.machines.len()].front();
            let (record, results) = (record.clone(), results.clone());
            let client = std::thread::spawn(move || {
                let received = consume(&record, number, front, other);
                results.lock().unwrap().push(received);
            });
            sleep_ms(20);
            client
        })
        .collect();
    sleep_ms(LIFE_MS - 200 - 20 * STREAMS as u64);
    reborn.crash();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let results = results.lock().unwrap();
    let mixed = |received: &&Received| {
        let versions = &received.versions;
        versions.iter().any(|version| *version != versions[0])
    };
    let mixed = results.iter().filter(mixed).count();
    let complete = results
        .iter()
        .filter(|received| received.is_complete)
        .count();
    record.note(&format!(
        "{} streams, {complete} complete, {mixed} with events of two versions",
        results.len()
    ));
    if complete < STREAMS / 4 {
        return Err("too few streams were served".into());
    }
    Ok(mixed <= MAX_MIXED)
}

/// Receives one stream, and takes it up again once if it breaks off.
fn consume(record: &Record, number: usize, front: SocketAddr, other: SocketAddr) -> Received {
    let mut received = Received::default();
    let first_attempt = attempt_id();
    let usage = format!(
        "X-Model: m\r\nX-Token-Usage: 200,240\r\n\
         X-Prompt-Prefix: {:x}:100,{:x}:100\r\nX-Remaining-Milliseconds: 14000\r\n",
        0x5c1e_0000 + number,
        0xe440_0000_u32 + number as u32
    );
    for (attempt, front) in [(first_attempt.clone(), front), (attempt_id(), other)] {
        let resumed = match received.last_event {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {first_attempt}\r\n"),
        };
        let text = request(
            "POST",
            "/stream/2f",
            &attempt,
            TENANTS[0].1,
            &format!("{usage}{resumed}"),
        );
        let resumed = resumed.replace("\r\n", " ");
        record.note(&format!("client: POST {attempt} {resumed}to {front}"));
        let outcome = match send(front, &text, Duration::from_secs(3)) {
            Ok(reader) => read_events(reader, &mut received),
            Err(error) => format!("no connection: {error}"),
        };
        record.note(&format!(
            "client: {attempt}: {outcome}, last event {}, versions {}",
            received.last_event,
            runs(&received.versions)
        ));
        if received.is_complete || received.last_event == 0 {
            break;
        }
    }
    received
}

/// Reads events to the end of the stream, and returns how it ended.
fn read_events(mut reader: BufReader<TcpStream>, received: &mut Received) -> String {
    let head = match read_head(&mut reader) {
        Ok(Some(head)) => head,
        _ => return "no answer".into(),
    };
    if head.status() != 200 {
        return format!("status {}", head.status());
    }
    let mut text = String::new();
    loop {
        match read_chunk(&mut reader) {
            Ok(chunk) if chunk.is_empty() => {
                received.is_complete = true;
                return "complete".into();
            }
            Ok(chunk) => text += &String::from_utf8_lossy(&chunk),
            Err(error) => return format!("broken off: {error}"),
        }
        while let Some((event, rest)) = text.split_once("\n\n") {
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    received.last_event = id.parse().unwrap_or(0);
                } else if let Some(version) = line.strip_prefix("data: ") {
                    received.versions.push(version.into());
                }
            }
            text = rest.into();
        }
    }
}

/// Versions of the events, with the number of events in a row.
fn runs(versions: &[String]) -> String {
    let mut runs: Vec<(&str, u32)> = Vec::new();
    for version in versions {
        match runs.last_mut() {
            Some((last, count)) if last == version => *count += 1,
            _ => runs.push((version, 1)),
        }
    }
    let runs: Vec<String> = runs
        .iter()
        .map(|(name, count)| format!("{name}x{count}"))
        .collect();
    runs.join("+")
}
