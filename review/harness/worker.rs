//! Stand-in of a worker: serves requests, and announces itself to the control nodes.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Head, read_body, read_head};
use crate::record::Record;

/// Interval between two announcements, as in the settings of the deployment.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Digest that marks the answers of a stand-in.
const DIGEST: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// What a worker answers.
#[derive(Debug, Clone, Copy)]
pub enum Work {
    /// A body after some milliseconds.
    Plain(u64),
    /// So many events, with a pause of so many milliseconds between two.
    Stream(u32, u64),
}

/// Description of one lifetime of a worker.
#[derive(Debug, Clone)]
pub struct Lifetime {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Work,
    /// Unix millisecond of its start.
    pub born: u64,
}

/// A request that a worker has begun to run.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: f64,
    pub worker: String,
    pub head: Head,
}

impl Arrival {
    pub fn attempt(&self) -> &str {
        self.head.get("x-attempt-id").unwrap_or("")
    }
}

/// Requests that the workers of a case have run.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A running worker.
#[derive(Clone)]
pub struct Worker {
    pub lifetime: Lifetime,
    record: Record,
    arrivals: Arrivals,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    sequence: Arc<AtomicU64>,
    /// Time in seconds of the case until which the worker is cold, in milliseconds.
    cold_until_ms: Arc<AtomicU64>,
}

impl Worker {
    /// Starts to serve requests.
    pub fn start(lifetime: Lifetime, record: &Record, arrivals: &Arrivals) -> Result<Self, String> {
        let listener = TcpListener::bind(lifetime.address).map_err(|error| error.to_string())?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        let worker = Self {
            lifetime,
            record: record.clone(),
            arrivals: arrivals.clone(),
            is_stopped: Arc::default(),
            connections: Arc::default(),
            sequence: Arc::default(),
            cold_until_ms: Arc::default(),
        };
        worker.note(&format!(
            "starts, version {}, born {}",
            worker.lifetime.version, worker.lifetime.born
        ));
        let serving = worker.clone();
        std::thread::spawn(move || serving.accept(&listener));
        Ok(worker)
    }

    fn note(&self, text: &str) {
        self.record
            .note(&format!("worker {}: {text}", self.lifetime.id));
    }

    /// Ends the process of the worker: its address refuses connections, and open ones are closed.
    pub fn crash(&self) {
        self.note("ends");
        self.is_stopped.store(true, Ordering::SeqCst);
        // The listener is closed by its thread.
        std::thread::sleep(Duration::from_millis(5));
        for connection in self.connections.lock().unwrap().values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Makes the worker cold for this time.
    pub fn cool(&self, cold: Duration) {
        let until = (self.record.now() * 1000.0) as u64 + cold.as_millis() as u64;
        self.cold_until_ms.store(until, Ordering::SeqCst);
        self.note(&format!("is cold for {cold:?}"));
    }

    /// Remaining time for which the worker is cold, in milliseconds.
    pub fn cold_ms(&self) -> u64 {
        let now = (self.record.now() * 1000.0) as u64;
        self.cold_until_ms
            .load(Ordering::SeqCst)
            .saturating_sub(now)
    }

    /// Body of the next announcement.
    pub fn next_beat(&self, state: &str) -> String {
        let lifetime = &self.lifetime;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":{},\"sequence\":{sequence},\
             \"born\":{}}}",
            lifetime.service,
            lifetime.address,
            lifetime.zone,
            lifetime.version,
            lifetime.slots,
            self.cold_ms(),
            lifetime.born
        )
    }

    /// Sends an announcement to the first control node that acknowledges it within a second.
    pub fn send_beat(&self, controls: &[SocketAddr], body: &str) -> bool {
        let path = format!("/-/instances/{}", self.lifetime.id);
        self.call(controls, "PUT", &path, body)
    }

    /// Says that the worker is gone. Returns whether a control node has acknowledged it.
    pub fn depart(&self, controls: &[SocketAddr]) -> bool {
        let path = format!("/-/instances/{}", self.lifetime.id);
        let body = format!("{{\"born\":{}}}", self.lifetime.born);
        self.call(controls, "DELETE", &path, &body)
    }

    fn call(&self, controls: &[SocketAddr], method: &str, path: &str, body: &str) -> bool {
        for address in controls {
            let reply = http::call(*address, method, path, body, Duration::from_secs(1));
            let status = reply.map_or(0, |(status, _)| status);
            self.note(&format!("{method} {path} {body} to {address}: {status}"));
            if (200..300).contains(&status) {
                return true;
            }
        }
        false
    }

    /// Announces the worker as ready at each interval while `may_send` returns true.
    pub fn keep_announcing(
        &self,
        controls: Vec<SocketAddr>,
        may_send: impl Fn() -> bool + Send + 'static,
    ) {
        let worker = self.clone();
        std::thread::spawn(move || {
            while !worker.is_stopped.load(Ordering::SeqCst) && may_send() {
                let body = worker.next_beat("ready");
                worker.send_beat(&controls, &body);
                std::thread::sleep(BEAT_INTERVAL);
            }
        });
    }

    fn accept(&self, listener: &TcpListener) {
        let mut number = 0;
        while !self.is_stopped.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            number += 1;
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(clone) = stream.try_clone() {
                self.connections.lock().unwrap().insert(number, clone);
            }
            let (worker, key) = (self.clone(), number);
            std::thread::spawn(move || {
                // A connection that breaks ends only its own thread.
                let _ = worker.serve(&stream);
                let _ = stream.shutdown(Shutdown::Both);
                worker.connections.lock().unwrap().remove(&key);
            });
        }
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            read_body(&mut reader, &head)?;
            self.answer(stream, head)?;
        }
        Ok(())
    }

    fn answer(&self, mut stream: &TcpStream, head: Head) -> std::io::Result<()> {
        let id = &self.lifetime.id;
        let attempt = head.get("x-attempt-id").unwrap_or("").to_string();
        let common = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\n");
        let expected = head.get("x-expected-instance");
        if expected.is_some_and(|expected| expected != id) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{common}X-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes());
        }
        let last_event = head.get("last-event-id").and_then(|text| text.parse().ok());
        self.arrivals.lock().unwrap().push(Arrival {
            at: self.record.now(),
            worker: id.clone(),
            head,
        });
        match self.lifetime.work {
            Work::Plain(millis) => {
                std::thread::sleep(Duration::from_millis(millis));
                let body = format!("{{\"worker\":\"{id}\"}}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{common}X-Response-Signature: {DIGEST}\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes())
            }
            Work::Stream(events, gap_ms) => {
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{common}X-Response-Signature: {DIGEST}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(answer.as_bytes())?;
                for event in last_event.unwrap_or(0) + 1..=events {
                    let text = format!("id: {event}\ndata: {}\n\n", self.lifetime.version);
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    stream.write_all(chunk.as_bytes())?;
                    std::thread::sleep(Duration::from_millis(gap_ms));
                }
                stream.write_all(b"0\r\n\r\n")
            }
        }
    }
}
