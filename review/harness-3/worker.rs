//! Workers: registration, and answers to requests.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::Record;
use crate::http::{self, Head};

/// Service of the workers whose start names none.
const SERVICE: &str = "huvo11a";

/// One start of a worker's process.
#[derive(Debug, Clone)]
pub struct Lifetime {
    pub number: u32,
    pub version: String,
    pub born: u64,
}

struct State {
    lifetime: Lifetime,
    open: Vec<TcpStream>,
    reads_late: bool,
}

/// A worker with an address that it keeps over its lifetimes.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    zone: &'static str,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    record: &'static Record,
    events: u32,
    /// Size of a plain answer, in bytes.
    answer_bytes: usize,
    service: &'static str,
    state: Arc<Mutex<State>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

impl Worker {
    /// Starts a worker whose streams have `events` events.
    pub fn start(
        record: &'static Record,
        id: &str,
        zone: &'static str,
        ip: &str,
        controls: Vec<SocketAddr>,
        events: u32,
    ) -> Self {
        Self::start_with(record, id, zone, ip, controls, (events, 0, SERVICE))
    }

    /// Starts a worker whose answers have `answer_bytes` bytes.
    pub fn start_plain(
        record: &'static Record,
        id: &str,
        zone: &'static str,
        ip: &str,
        controls: Vec<SocketAddr>,
        answer_bytes: usize,
    ) -> Self {
        Self::start_with(record, id, zone, ip, controls, (0, answer_bytes, SERVICE))
    }

    /// Starts a worker of another service, whose answers are short.
    pub fn start_of(
        record: &'static Record,
        id: &str,
        zone: &'static str,
        ip: &str,
        controls: Vec<SocketAddr>,
        service: &'static str,
    ) -> Self {
        Self::start_with(record, id, zone, ip, controls, (0, 100, service))
    }

    fn start_with(
        record: &'static Record,
        id: &str,
        zone: &'static str,
        ip: &str,
        controls: Vec<SocketAddr>,
        (events, answer_bytes, service): (u32, usize, &'static str),
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let lifetime = Lifetime { number: 1, version: "v1".into(), born: unix_ms() };
        let worker = Self {
            id: id.into(),
            zone,
            address: listener.local_addr().unwrap(),
            controls,
            record,
            events,
            answer_bytes,
            service,
            state: Arc::new(Mutex::new(State {
                lifetime,
                open: Vec::new(),
                reads_late: false,
            })),
        };
        let accepting = worker.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                let lifetime = {
                    let mut state = serving.state.lock().unwrap();
                    state.open.push(stream.try_clone().unwrap());
                    state.lifetime.clone()
                };
                spawn(move || serving.serve(stream, &lifetime));
            }
        });
        worker.announce_from_now();
        worker
    }

    /// Ends the process and starts the next one, which takes over the listening socket.
    pub fn restart(&self, version: &str) {
        {
            let mut state = self.state.lock().unwrap();
            state.lifetime = Lifetime {
                number: state.lifetime.number + 1,
                version: version.into(),
                born: unix_ms().max(state.lifetime.born + 1),
            };
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.line(&format!("worker {} ends and starts again, version {version}", self.id));
        self.announce_from_now();
    }

    /// Sets whether the worker reads the body of a request after its answer.
    pub fn set_reads_late(&self, reads_late: bool) {
        self.state.lock().unwrap().reads_late = reads_late;
    }

    fn lifetime(&self) -> Lifetime {
        self.state.lock().unwrap().lifetime.clone()
    }

    /// Sends announcements of the present lifetime until it ends.
    fn announce_from_now(&self) {
        let (worker, lifetime) = (self.clone(), self.lifetime());
        spawn(move || {
            let mut sequence = 0;
            let mut control = worker.id.bytes().map(usize::from).sum::<usize>();
            while worker.lifetime().number == lifetime.number {
                sequence += 1;
                let is_acknowledged = worker.announce(&lifetime, sequence, control);
                if is_acknowledged {
                    sleep(Duration::from_millis(1_200));
                } else {
                    control += 1;
                    sleep(Duration::from_millis(50));
                }
            }
        });
    }

    fn announce(&self, lifetime: &Lifetime, sequence: u64, control: usize) -> bool {
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":48,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, lifetime.version, lifetime.born
        );
        let path = format!("/-/instances/{}", self.id);
        let headers = [
            ("Host", "control".to_string()),
            ("Content-Type", "application/json".to_string()),
        ];
        let request = http::request_bytes("PUT", &path, &headers, &body);
        let address = self.controls[control % self.controls.len()];
        let result = http::call(address, &request, Duration::from_secs(1));
        let status = result.map_or(0, |(head, _)| head.status());
        if sequence == 1 || status != 200 {
            let (id, version) = (&self.id, &lifetime.version);
            self.record.line(&format!("worker {id} {version} announces itself: {status}"));
        }
        status == 200
    }

    fn serve(&self, stream: TcpStream, lifetime: &Lifetime) {
        let mut writer = stream.try_clone().unwrap();
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let reads_late = self.state.lock().unwrap().reads_late;
            if !reads_late && http::read_body(&mut reader, &head, |_| {}).is_err() {
                return;
            }
            // The process may have ended since.
            if self.lifetime().number != lifetime.number {
                return;
            }
            if let Err(error) = self.answer(&mut writer, &head, lifetime) {
                self.record.line(&format!("worker {}: its caller is gone ({error})", self.id));
                return;
            }
            if reads_late && http::read_body(&mut reader, &head, |_| {}).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        writer: &mut TcpStream,
        head: &Head,
        lifetime: &Lifetime,
    ) -> std::io::Result<()> {
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_string();
        if head.header("x-expected-instance").is_some_and(|id| id != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return writer.write_all(text.as_bytes());
        }
        let (id, version) = (&self.id, &lifetime.version);
        let last: u32 = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if self.events == 0 {
            let body = format!("{id} {version} {attempt} {}", "x".repeat(self.answer_bytes));
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n\
                 X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return writer.write_all(text.as_bytes());
        }
        self.record.line(&format!(
            "worker {id} {version} runs {attempt} from event {}",
            last + 1
        ));
        let text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(text.as_bytes())?;
        sleep(Duration::from_millis(20));
        for number in last + 1..=self.events {
            let event = format!("id: {number}\ndata: {id} {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            sleep(Duration::from_millis(60));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
