//! ORDER and LOST: workers are upgraded in place, one after the other, while streams run.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, HOST, KEY, Record, ZONES, configuration};
use crate::http;
use crate::worker::Worker;
use crate::CaseResult;

/// Streams of each upgrade.
const STREAMS: usize = 36;

/// Events of a stream, one each 60 ms.
const EVENTS: u32 = 70;

/// Time for which a client waits in all.
const PATIENCE: Duration = Duration::from_secs(15);

/// What a client has got of its stream, over its tries.
struct Outcome {
    name: String,
    versions: BTreeSet<String>,
    last: u32,
    /// Whether the stream broke off and was taken up again.
    is_taken_up: bool,
    /// Whether an event has arrived since.
    goes_on: bool,
}

/// How clients take up their streams.
#[derive(Clone, Copy)]
struct TakeUp {
    /// Time from the break to the first try.
    delay: Duration,
    /// Number of tries.
    tries: usize,
}

/// Streams of a run.
#[derive(Debug, Default)]
struct Counts {
    sent: u32,
    begun: u32,
    taken_up: u32,
    gone_on: u32,
    of_two_versions: u32,
}

/// Reads a stream, and takes it up again at the next machine after it has broken off.
fn read_stream(record: &Record, fronts: [SocketAddr; 3], name: String, take_up: TakeUp) -> Outcome {
    let started_at = Instant::now();
    let mut outcome = Outcome {
        name: name.clone(),
        versions: BTreeSet::new(),
        last: 0,
        is_taken_up: false,
        goes_on: false,
    };
    for attempt in 0..=take_up.tries {
        let id = format!("{name}-{}", attempt + 1);
        let left = PATIENCE.saturating_sub(started_at.elapsed());
        let mut headers = vec![
            ("Host", HOST.to_string()),
            ("Authorization", format!("Token {KEY}")),
            ("X-Attempt-Id", id.clone()),
            ("X-Model", "m".into()),
            ("X-Token-Usage", "715,280".into()),
            ("X-Prompt-Prefix", format!("{0:x}:172,{0:x}7:543", hash(&name) >> 8)),
            ("X-Remaining-Milliseconds", left.as_millis().to_string()),
        ];
        let before = outcome.last;
        if before > 0 {
            headers.push(("Last-Event-Id", before.to_string()));
            headers.push(("Resumes", format!("{name}-1")));
            outcome.is_taken_up = true;
        }
        let request = http::request_bytes("POST", "/lohu930/2f", &headers, "");
        let answered = read_try(fronts[attempt % 3], &request, &mut outcome);
        let (status, retry_after) = answered.unwrap_or_default();
        outcome.goes_on |= before > 0 && outcome.last > before;
        record.line(&format!(
            "client {id}: status {status}, {} of {EVENTS} events, versions {:?}",
            outcome.last, outcome.versions
        ));
        if outcome.last == EVENTS || outcome.last == 0 {
            break;
        }
        sleep(retry_after.unwrap_or(take_up.delay));
    }
    outcome
}

fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

/// Sends one try. Returns the status and `Retry-After`.
fn read_try(
    front: SocketAddr,
    request: &[u8],
    outcome: &mut Outcome,
) -> std::io::Result<(u16, Option<Duration>)> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = head.status();
    let mut text = String::new();
    let read = http::read_body(&mut reader, &head, |part| {
        text += &String::from_utf8_lossy(part);
        while let Some((event, rest)) = text.split_once("\n\n") {
            let mut lines = event.lines();
            let number = lines.next().and_then(|line| line.strip_prefix("id: "));
            let version = lines.next().and_then(|line| line.rsplit(' ').next());
            if let (Some(number), Some(version), 200) = (number, version, status) {
                outcome.last = number.parse().unwrap_or(outcome.last);
                outcome.versions.insert(version.into());
            }
            text = rest.to_string();
        }
    });
    // A broken stream is taken up again.
    let _ = read;
    let retry_after = head.header("retry-after").and_then(|text| text.parse().ok());
    Ok((status, retry_after.map(Duration::from_secs_f64)))
}

/// ORDER: streams are taken up at once.
pub fn run_joined(record: &'static Record, has_trouble: bool) -> CaseResult {
    let take_up = TakeUp { delay: Duration::ZERO, tries: 1 };
    let counts = play(record, has_trouble, take_up)?;
    // The rule allows two such streams.
    Ok(counts.of_two_versions <= 2)
}

/// LOST: streams are taken up a second after they broke off.
pub fn run_refused(record: &'static Record, has_trouble: bool) -> CaseResult {
    let take_up = TakeUp { delay: Duration::from_secs(1), tries: 3 };
    let counts = play(record, has_trouble, take_up)?;
    if counts.taken_up < 12 {
        return Err("too few streams were taken up again".into());
    }
    // The share that goes on is to be half of that of new streams that begin, or more.
    Ok(2 * counts.gone_on * counts.sent >= counts.begun * counts.taken_up)
}

fn play(
    record: &'static Record,
    has_trouble: bool,
    take_up: TakeUp,
) -> Result<Counts, String> {
    let mut fleet = Fleet::create(record);
    fleet.start_all();
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &configuration(1, "streaming", true))?;
    let controls: Vec<SocketAddr> = (0..3).map(|machine| fleet.control(machine)).collect();
    let workers: Vec<Worker> = (0..6)
        .map(|number| {
            let (zone, ip) = (ZONES[number % 3], &fleet.machines[number % 3].ip);
            let id = format!("i-{number}");
            Worker::start(record, &id, zone, ip, controls.clone(), EVENTS)
        })
        .collect();
    fleet.wait_until_ready(&[0, 1, 2])?;
    // All announcements have arrived, and the share of a new caller is settled.
    sleep(Duration::from_secs(5));
    let mut counts = Counts::default();
    for (round, upgraded) in [&workers[0], &workers[1], &workers[2]].into_iter().enumerate() {
        let clients: Vec<_> = (0..STREAMS)
            .map(|number| {
                let fronts = [0, 1, 2].map(|next| fleet.front((number + next) % 3));
                let name = format!("s{round}-{number}");
                sleep(Duration::from_millis(15));
                spawn(move || read_stream(record, fronts, name, take_up))
            })
            .collect();
        sleep(Duration::from_millis(1_500));
        // Without trouble, the worker starts again with the version that it had.
        upgraded.restart(match has_trouble {
            true => "v2",
            false => "v1",
        });
        for client in clients {
            let outcome = client.join().map_err(|_| "a client has failed")?;
            counts.sent += 1;
            counts.begun += u32::from(outcome.last > 0);
            counts.taken_up += u32::from(outcome.is_taken_up);
            counts.gone_on += u32::from(outcome.goes_on);
            if outcome.versions.len() > 1 {
                counts.of_two_versions += 1;
                record.line(&format!("stream {} is of {:?}", outcome.name, outcome.versions));
            }
        }
    }
    record.line(&format!("{counts:?}"));
    Ok(counts)
}
