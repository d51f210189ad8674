//! LOST: consumers send bodies of the size that the configuration allows, and the platform kills an
//! entry that uses more than `memoryMb`.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::{Fleet, MEMORY_MB, SIGKILL, memory_mb, signal};
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::Work;

/// Size of a large body; `maxBodyBytes` is 4,194,304.
const LARGE_BYTES: usize = 4_000_000;

/// Size of the largest bodies on the days of the site file.
const USUAL_BYTES: usize = 110_000;

/// Number of bodies that are sent at the same time.
const UPLOADS: usize = 20;

/// Pause after each 64 KiB of a body, in milliseconds. All bodies together use 94 of the 125
/// megabytes a second of the machine's link.
const PART_PAUSE_MS: u64 = 14;

/// Number of clients with kept channels.
const CLIENTS: usize = 12;

/// Requests of kept channels that may get no answer.
const MAX_LOST: usize = 3;

/// Outcome of a request on a kept channel: its attempt, and the status or the error.
type Outcome = (String, Result<u16, String>);

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::start(record, 0)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    for number in 1..=3 {
        let lifetime = lifetime(&fleet, number, PLAIN, "v1", Work::Plain(150));
        start_worker(&fleet, record, &arrivals, lifetime)?;
    }
    fleet.wait_ready(record)?;
    sleep_ms(4_000);
    let front = fleet.machines[0].front();
    let is_over = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (is_over, outcomes) = (is_over.clone(), outcomes.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    book(front, &is_over, &outcomes);
                    sleep_ms(200);
                }
            })
        })
        .collect();
    sleep_ms(1_500);
    let size = if has_trouble {
        LARGE_BYTES
    } else {
        USUAL_BYTES
    };
    record.note(&format!(
        "{UPLOADS} clients begin to send bodies of {size} bytes to {front}"
    ));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let record = record.clone();
            std::thread::spawn(move || {
                let attempt = attempt_id();
                let outcome = upload(front, &attempt, size);
                record.note(&format!("client: {attempt}, {size} bytes: {outcome}"));
            })
        })
        .collect();
    // The platform kills a process above its memory, and starts it again after a short delay.
    let mut most = 0;
    for _ in 0..1_000 {
        sleep_ms(3);
        for index in 0..fleet.machines.len() {
            let pids = fleet.machines[index].pids.clone();
            for pid in pids {
                let used = memory_mb(pid);
                most = most.max(used);
                if used > MEMORY_MB {
                    let name = fleet.machines[index].name.clone();
                    record.note(&format!(
                        "platform: an entry of {name} uses {used} MB, more than {MEMORY_MB}: killed"
                    ));
                    signal(pid, SIGKILL);
                    fleet.machines[index].pids.retain(|other| *other != pid);
                    sleep_ms(500);
                    fleet.start_role(index, "entry")?;
                }
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain(uploads) {
        thread.join().map_err(|_| "a client failed")?;
    }
    let arrivals = arrivals.lock().unwrap();
    let outcomes = outcomes.lock().unwrap();
    let mut lost = 0;
    for (attempt, outcome) in outcomes.iter() {
        let Err(reason) = outcome else { continue };
        let mut arrived = arrivals.iter();
        if let Some(arrival) = arrived.find(|arrival| arrival.attempt() == attempt) {
            lost += 1;
            record.note_at(
                arrival.at,
                &format!(
                    "worker {}: runs {attempt}, sent on a kept channel; the client got no answer: \
                     {reason}",
                    arrival.worker
                ),
            );
        }
    }
    record.note(&format!(
        "at most {most} MB in one process; {} requests on kept channels, {lost} passed on to a \
         worker and closed without an answer",
        outcomes.len()
    ));
    if outcomes.len() < CLIENTS {
        return Err("too few requests were served".into());
    }
    Ok(lost <= MAX_LOST)
}

/// Books on one channel until it closes.
fn book(front: SocketAddr, is_over: &AtomicBool, outcomes: &Mutex<Vec<Outcome>>) {
    let more = "X-Remaining-Milliseconds: 3000\r\n";
    let text = |attempt: &str| request("POST", "/once/2f", attempt, TENANTS[0].1, more);
    let Ok(mut reader) = send(front, &text(&attempt_id()), Duration::from_secs(3)) else {
        return;
    };
    let answer = |reader: &mut BufReader<TcpStream>| {
        let head = read_head(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        read_body(reader, &head)?;
        let closes = head.get("connection").is_some_and(|value| value == "close");
        Ok::<_, std::io::Error>((head.status(), closes))
    };
    let mut is_kept = matches!(answer(&mut reader), Ok((_, false)));
    while is_kept && !is_over.load(Ordering::SeqCst) {
        sleep_ms(20);
        let attempt = attempt_id();
        let sent = reader.get_mut().write_all(text(&attempt).as_bytes());
        let result = sent.and_then(|()| answer(&mut reader));
        is_kept = matches!(result, Ok((_, false)));
        let outcome = result.map(|(status, _)| status);
        let outcome = outcome.map_err(|error| error.to_string());
        outcomes.lock().unwrap().push((attempt, outcome));
    }
}

/// Sends one request with a body of this size, and tells its outcome.
fn upload(front: SocketAddr, attempt: &str, size: usize) -> String {
    let more = "X-Remaining-Milliseconds: 3000\r\n";
    let text = request("POST", "/once/2f", attempt, TENANTS[1].1, more);
    let text = text.replace("Content-Length: 0", &format!("Content-Length: {size}"));
    let sending = || {
        let mut reader = send(front, &text, Duration::from_secs(3))?;
        let part = vec![b'x'; 64 << 10];
        let mut left = size;
        while left > 0 {
            let count = left.min(part.len());
            reader.get_mut().write_all(&part[..count])?;
            left -= count;
            sleep_ms(PART_PAUSE_MS);
        }
        read_head(&mut reader)
    };
    match sending() {
        Ok(Some(head)) => format!("status {}", head.status()),
        Ok(None) => "closed without an answer".into(),
        Err(error) => format!("no answer: {error}"),
    }
}
