//! LOST: workers answer before they have read a long body, and read on later.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::CaseResult;
use crate::fleet::{Fleet, HOST, KEY, Record, SIGHUP, ZONES, configuration};
use crate::http;
use crate::worker::Worker;

/// Size of a body, below `maxBodyBytes` (4,194,304).
const BODY_BYTES: usize = 4_000_000;

/// Events of an answer, one each 60 ms.
const EVENTS: u32 = 70;

/// Clients that send such a request, and the machine that they send it to.
const CLIENTS: usize = 4;
const FRONT: usize = 0;

/// Time for which a client waits, as `miller-chat` does.
const PATIENCE: Duration = Duration::from_secs(15);

/// Sends one request and reads its answer. Returns whether the answer is complete.
fn send_request(record: &Record, front: SocketAddr, id: &str) -> std::io::Result<bool> {
    let sent_at = Instant::now();
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let headers = [
        ("Host", HOST.to_string()),
        ("Authorization", format!("Token {KEY}")),
        ("X-Attempt-Id", id.to_string()),
        ("X-Remaining-Milliseconds", PATIENCE.as_millis().to_string()),
    ];
    let body = "x".repeat(BODY_BYTES);
    stream.write_all(&http::request_bytes("POST", "/lohu930/2f", &headers, &body))?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let mut received = 0;
    let result = http::read_body(&mut reader, &head, |part| received += part.len());
    let (status, seconds) = (head.status(), sent_at.elapsed().as_secs_f64());
    record.line(&format!(
        "client {id}: status {status}, {received} bytes, after {seconds:.2} s: {}",
        match &result {
            Ok(()) => "complete".to_string(),
            Err(error) => format!("the channel ends ({:?})", error.kind()),
        }
    ));
    Ok(result.is_ok())
}

pub fn run(record: &'static Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::create(record);
    fleet.start_all();
    let plan = configuration(1, "streaming", false);
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &plan)?;
    let controls: Vec<SocketAddr> = (0..3).map(|machine| fleet.control(machine)).collect();
    for number in 0..3 {
        let (zone, ip) = (ZONES[number], &fleet.machines[number].ip);
        let id = format!("i-{number}");
        let worker = Worker::start(record, &id, zone, ip, controls.clone(), EVENTS);
        worker.set_reads_late(has_trouble);
    }
    fleet.wait_until_ready(&[0, 1, 2])?;
    sleep(Duration::from_secs(4));
    fleet.machines[FRONT].signal(SIGHUP);
    record.line(&format!("SIGHUP to {}", fleet.machines[FRONT].name));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fleet.front(FRONT);
            sleep(Duration::from_millis(100));
            spawn(move || send_request(record, front, &format!("p{number}")))
        })
        .collect();
    let mut cut = 0;
    for client in clients {
        let result = client.join().map_err(|_| "a client has failed")?;
        match result {
            Ok(is_complete) => cut += u32::from(!is_complete),
            Err(error) => return Err(format!("a client got no answer: {error}")),
        }
    }
    record.line(&format!("{cut} of {CLIENTS} answers cut"));
    Ok(cut == 0)
}
