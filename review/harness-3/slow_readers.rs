//! Fault: clients read their answers slowly, and the entry ends because of its memory.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::CaseResult;
use crate::fleet::{Fleet, HOST, KEY, Record, ZONES, configuration};
use crate::http;
use crate::worker::Worker;

/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 200_000;

/// Memory of a machine, as in `demands/glasnik-hq-grown.toml`.
const MEMORY_MB: u32 = 88;

/// Workers, of which each runs 48 requests at once.
const WORKERS: usize = 24;

/// Machines to which the clients connect: two of the three of the core.
const FRONTS: [usize; 2] = [0, 1];

/// Threads with clients of each of these machines, and the clients of each thread.
const THREADS: usize = 8;
const CLIENTS: usize = 75;

/// Ends of processes on a machine that break the rule.
const MAX_ENDS: u32 = 3;

/// Time for which the clients come, and time after which an ended process starts again.
const DAY: Duration = Duration::from_secs(60);
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for which a client waits for its answer in all.
const PATIENCE: Duration = Duration::from_secs(15);

/// Interval between the requests of a thread.
const SEND_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between two reads of a slow client, and their size.
const READ_INTERVAL: Duration = Duration::from_secs(1);
const READ_BYTES: usize = 2_048;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    fn connect(fd: i32, address: *const u8, size: u32) -> i32;
}

/// Opens a connection with a small window, as the links of the pages have it.
fn connect_small(address: SocketAddr) -> std::io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(ErrorKind::Unsupported.into());
    };
    let (family, stream, tcp) = (2, 1, 6);
    let (socket_level, receive_buffer, max_segment) = (1, 8, 2);
    let mut raw = [0u8; 16];
    raw[..2].copy_from_slice(&(family as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&address.port().to_be_bytes());
    raw[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let fd = socket(family, stream, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let result = TcpStream::from_raw_fd(fd);
        setsockopt(fd, socket_level, receive_buffer, &4_096, 4);
        // Loopback has segments of 64 KiB, and windows to match.
        setsockopt(fd, tcp, max_segment, &1_400, 4);
        match connect(fd, raw.as_ptr(), 16) {
            0 => Ok(result),
            _ => Err(std::io::Error::last_os_error()),
        }
    }
}

struct Crowd {
    front: SocketAddr,
    is_slow: bool,
    is_over: AtomicBool,
    sent: AtomicUsize,
    complete: AtomicUsize,
}

impl Crowd {
    fn run(&self, thread: usize) {
        let mut open: Vec<(TcpStream, Instant, usize)> = Vec::new();
        let mut number = 0;
        let mut read_at = Instant::now();
        while !self.is_over.load(Ordering::Relaxed) {
            if open.len() < CLIENTS {
                number += 1;
                if let Ok(stream) = self.send(&format!("{}-{thread}-{number}", self.front.ip())) {
                    open.push((stream, Instant::now(), 0));
                }
                sleep(SEND_INTERVAL);
            } else {
                sleep(Duration::from_millis(50));
            }
            let is_due = read_at.elapsed() >= READ_INTERVAL;
            if !self.is_slow || is_due {
                read_at = Instant::now();
                let limit = match self.is_slow {
                    true => READ_BYTES,
                    false => usize::MAX,
                };
                open.retain_mut(|client| {
                    let is_open = read_some(client, limit);
                    let is_complete = client.2 >= ANSWER_BYTES;
                    self.complete.fetch_add(usize::from(is_complete), Ordering::Relaxed);
                    is_open
                });
            }
        }
    }

    fn send(&self, id: &str) -> std::io::Result<TcpStream> {
        let mut stream = connect_small(self.front)?;
        let headers = [
            ("Host", HOST.to_string()),
            ("Authorization", format!("Token {KEY}")),
            ("X-Attempt-Id", id.to_string()),
            ("X-Remaining-Milliseconds", PATIENCE.as_millis().to_string()),
        ];
        stream.write_all(&http::request_bytes("GET", "/lohu930/2f", &headers, ""))?;
        stream.set_nonblocking(true)?;
        self.sent.fetch_add(1, Ordering::Relaxed);
        Ok(stream)
    }
}

/// Reads at most `limit` bytes. Returns whether the client still waits for the rest.
fn read_some((stream, sent_at, received): &mut (TcpStream, Instant, usize), limit: usize) -> bool {
    let mut buf = [0; 4_096];
    let mut rest = limit;
    while rest > 0 {
        let size = buf.len().min(rest);
        match stream.read(&mut buf[..size]) {
            Ok(0) => return false,
            Ok(count) => {
                *received += count;
                rest -= count;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => return false,
        }
    }
    *received < ANSWER_BYTES && sent_at.elapsed() < PATIENCE
}

/// What the platform has seen of one machine.
#[derive(Debug, Default, Clone, Copy)]
struct Watched {
    most_kb: u64,
    ends: u32,
    restarts_at: Option<Instant>,
}

pub fn run(record: &'static Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::create(record);
    fleet.memory_mb = MEMORY_MB;
    fleet.start_all();
    let plan = configuration(1, "idempotent", false);
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &plan)?;
    let controls: Vec<SocketAddr> = (0..3).map(|machine| fleet.control(machine)).collect();
    for number in 0..WORKERS {
        let (zone, ip) = (ZONES[number % 3], &fleet.machines[number % 3].ip);
        let id = format!("i-{number}");
        Worker::start_plain(record, &id, zone, ip, controls.clone(), ANSWER_BYTES);
    }
    fleet.wait_until_ready(&[0, 1, 2])?;
    sleep(Duration::from_secs(3));
    let crowds: Vec<Arc<Crowd>> = FRONTS
        .iter()
        .map(|machine| {
            Arc::new(Crowd {
                front: fleet.front(*machine),
                is_slow: has_trouble,
                is_over: AtomicBool::new(false),
                sent: AtomicUsize::new(0),
                complete: AtomicUsize::new(0),
            })
        })
        .collect();
    let mut threads = Vec::new();
    for crowd in &crowds {
        for thread in 0..THREADS {
            let crowd = crowd.clone();
            threads.push(spawn(move || crowd.run(thread)));
        }
    }
    let mut watched = [Watched::default(); FRONTS.len()];
    let started_at = Instant::now();
    let is_broken = |watched: &[Watched]| watched.iter().all(|watched| watched.ends >= MAX_ENDS);
    while started_at.elapsed() < DAY && !is_broken(&watched) {
        sleep(Duration::from_millis(50));
        for (number, machine) in FRONTS.into_iter().enumerate() {
            let this = &mut watched[number];
            if let Some(restarts_at) = this.restarts_at {
                if Instant::now() >= restarts_at {
                    this.restarts_at = None;
                    fleet.start_entry(machine);
                }
                continue;
            }
            let memory = fleet.memory_kb(machine, "entry");
            if memory / 10_000 > this.most_kb / 10_000 {
                let name = &fleet.machines[machine].name;
                let sent = crowds[number].sent.load(Ordering::Relaxed);
                record.line(&format!("entry of {name}: {memory} kB, {sent} requests sent"));
            }
            this.most_kb = this.most_kb.max(memory);
            if memory > u64::from(MEMORY_MB) * 1_000 {
                *this = Watched {
                    ends: this.ends + 1,
                    restarts_at: Some(Instant::now() + RESTART_DELAY),
                    ..Watched::default()
                };
                let name = &fleet.machines[machine].name;
                record.line(&format!("entry of {name}: over {MEMORY_MB} MB, the platform kills it"));
                fleet.end_entry(machine);
            }
        }
    }
    for crowd in &crowds {
        crowd.is_over.store(true, Ordering::Relaxed);
    }
    for thread in threads {
        let _ = thread.join();
    }
    for (number, machine) in FRONTS.into_iter().enumerate() {
        record.line(&format!(
            "{}: {} ends, {} requests sent, {} answers read in full, {} kB at most since",
            fleet.machines[machine].name,
            watched[number].ends,
            crowds[number].sent.load(Ordering::Relaxed),
            crowds[number].complete.load(Ordering::Relaxed),
            watched[number].most_kb
        ));
    }
    Ok(!is_broken(&watched))
}
