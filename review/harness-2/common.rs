//! Stand-ins for the clients, the workers, the operator and the platform, on loopback.
//!
//! Uses the standard library only, so that a case builds with `rustc` and without a network.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const FRONT_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const CONTROL_PORT: u16 = 8785;

pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const HOST: &str = "ficu95.example";
pub const ZONES: [(&str, &str); 3] = [
    ("bohemia-a", "bohemia"),
    ("moravia-a", "moravia"),
    ("silesia-a", "silesia"),
];

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(ms(millis));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is after 1970")
        .as_millis() as u64
}

/// Whether the disruption is left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Log of what was sent, answered and run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    started_at: Instant,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        Self {
            lines: Arc::default(),
            started_at: Instant::now(),
            path: folder.join("record.txt"),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}", text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Like [`Self::line`], and prints the line too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn save(&self) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        let _ = fs::write(&self.path, text);
    }
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn kill_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// Ends the processes and the case.
pub fn finish(record: &Record, folder: &Path, code: i32) -> ! {
    kill_children();
    record.say(match code {
        0 => "result: the rule held",
        1 => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    record.save();
    sleep_ms(200);
    let _ = fs::remove_dir_all(folder);
    std::process::exit(code)
}

/// Ends the case with code 2 after `limit`.
pub fn start_watchdog(record: &Record, folder: &Path, limit: Duration) {
    let (record, folder) = (record.clone(), folder.to_path_buf());
    thread::spawn(move || {
        thread::sleep(limit);
        record.say("the case took too long");
        finish(&record, &folder, 2)
    });
}

/// A machine of the deployment.
pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub has_control: bool,
    pub processes: HashMap<&'static str, Child>,
}

/// The project's own processes, each machine with an address of its own.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub folder: PathBuf,
    net: [u8; 2],
    record: Record,
    pub bounds: Vec<(String, String)>,
    pub memory_mb: u32,
}

impl Fleet {
    /// Prepares `fronts` machines, the first three of which have a control node.
    pub fn new(record: &Record, fronts: usize) -> Self {
        let seed = unix_ms() ^ (u64::from(std::process::id()) << 7);
        let net = [(seed % 200 + 20) as u8, (seed / 200 % 250 + 2) as u8];
        let folder = std::env::temp_dir().join(format!("review-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let machines = (0..fronts)
            .map(|index| Machine {
                ip: Ipv4Addr::new(127, net[0], net[1], index as u8 + 1),
                zone: index % 3,
                has_control: index < 3,
                processes: HashMap::new(),
            })
            .collect();
        Self {
            machines,
            folder,
            net,
            record: record.clone(),
            bounds: Vec::new(),
            memory_mb: 110,
        }
    }

    pub fn worker_ip(&self, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], index as u8 + 101)
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[index].ip), FRONT_PORT)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.machines[index].ip), READY_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let machines = self.machines.iter().filter(|machine| machine.has_control);
        machines
            .map(|machine| SocketAddr::new(IpAddr::V4(machine.ip), CONTROL_PORT))
            .collect()
    }

    fn settings(&self, index: usize, role: &str, first_start: bool) -> String {
        let machine = &self.machines[index];
        let (ip, (zone, region)) = (machine.ip, ZONES[machine.zone]);
        let seeds: Vec<String> = self.controls().iter().map(|seed| format!("\"{seed}\"")).collect();
        let data = match role {
            "control" => format!(
                "dataDirectory = \"{}\"\n",
                self.folder.join(format!("data-{index}")).display()
            ),
            _ => String::new(),
        };
        let listen = match role {
            "control" => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
            _ => format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n"),
        };
        let zones: String = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .collect();
        let serves = if role == "control" { "control" } else { "front" };
        let memory = self.memory_mb;
        format!(
            "nodeName = \"front-{zone}-{index}\"\nrole = \"{role}\"\nmachineClass = \"front\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPortRange = [7400,7415]\nseeds = [{seeds}]\nfirstStart = {first_start}\n\
             includeInTolerance = {counted}\n{data}discovery = \"registration\"\n\
             entryPoint = \"virtual_ip\"\nheartbeatIntervalMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\"]\n\
             configurationMode = \"highest\"\n[zones]\n{zones}[listen]\n{listen}[limits]\n\
             cpuShare = 0.45\ncores = 1\nmemoryMb = {memory}\nfileDescriptors = 4100\n\
             linkBandwidthMbps = 1000.0\ndiskMb = 64\n[faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactWindowMs = 3000\nackTimeoutMs = 4000\n\
             catchUpS = 4\ndrainTimeoutMs = 2500\ngracePeriodS = 8\nlossSlackMs = 200\n\
             configurationApplyMs = 2500\ndowngradeSlackMs = 250\nmaxStretchMs = 5000\n\
             strictRevocation = true\nrevocationMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n\
             retryBudgetSlack = 58\ncoldBurstFactor = 1.5\ncoldSlack = 5\nevacuationMs = 5000\n\
             recoveryS = 12\npassMs = 200\nreuseWindowS = 4.7\nquotaWindowS = 4\n",
            seeds = seeds.join(","),
            counted = machine.has_control,
        )
    }

    /// Starts a role on a machine with the `run` line of the deploy file.
    pub fn start(&mut self, index: usize, role: &'static str, first_start: bool) {
        let deploy = fs::read_to_string("deploy/system.toml").expect("run in the repository's root");
        let section = deploy
            .split(&format!("[roles.{role}]"))
            .nth(1)
            .expect("the deploy file has the role");
        let run = section
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("the role has a run line")
            .trim_end_matches('"')
            .to_string();
        let settings = self.folder.join(format!("{role}-{index}.toml"));
        fs::write(&settings, self.settings(index, role, first_start)).expect("settings are written");
        let log_path = self.folder.join(format!("{role}-{index}.log"));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)
            .expect("the log can be opened");
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().expect("the run line names a program"));
        command
            .args(words)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("BILBERRYCRANK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log can be shared"))
            .stderr(log);
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = match command.spawn() {
            Ok(child) => child,
            Err(error) => {
                self.record.say(format!("failed to start {run}: {error}"));
                finish(&self.record, &self.folder, 2);
            }
        };
        CHILDREN.lock().unwrap().push(child.id());
        self.record
            .line(format!("start {role} on machine {index} {}", self.machines[index].ip));
        self.machines[index].processes.insert(role, child);
    }

    /// Starts all roles of all machines.
    pub fn start_all(&mut self) {
        for index in 0..self.machines.len() {
            if self.machines[index].has_control {
                self.start(index, "control", true);
            }
            self.start(index, "entry", true);
        }
    }

    pub fn signal(&self, index: usize, role: &str, signal: i32) {
        if let Some(child) = self.machines[index].processes.get(role) {
            self.record
                .line(format!("signal {signal} to {role} on machine {index}"));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills a process and waits until it has ended.
    pub fn kill(&mut self, index: usize, role: &'static str) {
        self.signal(index, role, SIGKILL);
        if let Some(mut child) = self.machines[index].processes.remove(role) {
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self, index: usize, role: &str) -> bool {
        let child = self.machines[index].processes.get_mut(role);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn resident_mb(&self, index: usize, role: &str) -> u64 {
        let Some(child) = self.machines[index].processes.get(role) else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kb.unwrap_or(0) * 1024 / 1_000_000
    }

    /// Publishes a configuration as the operator does: again until it is acknowledged.
    pub fn publish(&self, body: &str) {
        self.order("PUT", "/-/configuration", body);
    }

    pub fn order(&self, method: &str, path: &str, body: &str) {
        let controls = self.controls();
        for attempt in 0.. {
            let control = controls[attempt % controls.len()];
            let reply = call(control, method, path, &[], body.as_bytes(), ms(1000));
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record
                .line(format!("operator {method} {path} at {control}: {status}"));
            if (200..300).contains(&status) {
                return;
            }
            if attempt > 60 || matches!(status, 400 | 409 | 413 | 422) {
                self.record.say(format!("the order {method} {path} was not accepted: {status}"));
                finish(&self.record, &self.folder, 2);
            }
            sleep_ms(200);
        }
    }

    /// Waits until all running entries are ready.
    pub fn wait_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        for index in 0..self.machines.len() {
            loop {
                let reply = call(self.ready(index), "GET", "/-/readiness", &[], b"", ms(500));
                if reply.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    self.record.say(format!("machine {index} is not ready"));
                    finish(&self.record, &self.folder, 2);
                }
                sleep_ms(100);
            }
        }
        self.record.line("all entries are ready");
    }
}

/// A response that was read to its end, or as far as it came.
#[derive(Debug, Default, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A client's channel.
pub struct Channel {
    reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        if !headers.iter().any(|(name, _)| *name == "Host") {
            head.push_str("Host: control\r\n");
        }
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    pub fn read_head(&mut self, timeout: Duration) -> io::Result<Reply> {
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|text| text.trim().parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        Ok(Reply {
            status,
            headers,
            ..Reply::default()
        })
    }

    /// Reads the body and passes each piece on as it arrives.
    pub fn read_body(&mut self, reply: &mut Reply, mut piece: impl FnMut(&[u8])) {
        let is_chunked = reply
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = reply.header("content-length").and_then(|value| value.parse().ok());
        if is_chunked {
            loop {
                let Ok(chunk) = read_chunk(&mut self.reader) else {
                    return;
                };
                if chunk.is_empty() {
                    reply.is_complete = true;
                    return;
                }
                piece(&chunk);
                reply.body.extend_from_slice(&chunk);
            }
        }
        let mut left: usize = length.unwrap_or(0);
        let mut buf = [0; 16384];
        while left > 0 {
            let size = left.min(buf.len());
            match self.reader.read(&mut buf[..size]) {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    piece(&buf[..count]);
                    reply.body.extend_from_slice(&buf[..count]);
                    left -= count;
                }
            }
        }
        reply.is_complete = true;
    }
}

fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// One call on a channel of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Reply> {
    let mut channel = Channel::open(address)?;
    channel.send(method, path, headers, body)?;
    let mut reply = channel.read_head(timeout)?;
    channel.read_body(&mut reply, |_| {});
    Ok(reply)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of a consumer attempt.
pub fn attempt_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Headers that every request of a consumer has.
pub fn client_headers(attempt: &str, remaining_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Host", HOST.into()),
        ("X-Attempt-Id", attempt.into()),
        ("X-Remaining-Milliseconds", remaining_ms.to_string()),
        ("Authorization", format!("Token {KEY}")),
    ]
}

/// A request as a worker reads it.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl WorkerRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn attempt(&self) -> String {
        self.header("x-attempt-id").unwrap_or_default().into()
    }
}

/// One lifetime of a worker.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: usize,
    pub version: String,
    pub slots: u32,
    pub born: u64,
    pub cold_ms: u64,
    controls: Vec<SocketAddr>,
    state: Arc<WorkerState>,
    record: Record,
}

struct WorkerState {
    has_ended: AtomicBool,
    is_draining: AtomicBool,
    has_pings: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
}

/// Answers one request on its channel; returns whether the channel stays open.
pub type Answer = Arc<dyn Fn(&Worker, &WorkerRequest, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

impl Worker {
    pub fn new(fleet: &Fleet, index: usize, service: &str, version: &str, slots: u32) -> Self {
        Self {
            id: format!("i-7f3a91{index:02}"),
            address: SocketAddr::new(IpAddr::V4(fleet.worker_ip(index)), 8080),
            service: service.into(),
            zone: index % 3,
            version: version.into(),
            slots,
            born: unix_ms(),
            cold_ms: 0,
            controls: fleet.controls(),
            state: Arc::new(WorkerState {
                has_ended: AtomicBool::new(false),
                is_draining: AtomicBool::new(false),
                has_pings: AtomicBool::new(true),
                streams: Mutex::default(),
                sequence: AtomicU64::new(0),
            }),
            record: fleet.record.clone(),
        }
    }

    /// The next lifetime under the same id and address.
    pub fn reborn(&self, version: &str, cold_ms: u64) -> Self {
        Self {
            version: version.into(),
            born: unix_ms(),
            cold_ms,
            state: Arc::new(WorkerState {
                has_ended: AtomicBool::new(false),
                is_draining: AtomicBool::new(false),
                has_pings: AtomicBool::new(true),
                streams: Mutex::default(),
                sequence: AtomicU64::new(0),
            }),
            ..self.clone()
        }
    }

    pub fn has_ended(&self) -> bool {
        self.state.has_ended.load(Ordering::SeqCst)
    }

    /// Listens, and registers with pings. The first ping arrives after `first_ping`.
    pub fn start(&self, first_ping: Duration, answer: Answer) {
        let listener = (0..100)
            .find_map(|_| {
                let bound = TcpListener::bind(self.address).ok();
                if bound.is_none() {
                    sleep_ms(10);
                }
                bound
            })
            .expect("the worker's address is free");
        listener.set_nonblocking(true).expect("the listener is set");
        self.record.line(format!(
            "worker {} {} listens at {}, born {}",
            self.id, self.version, self.address, self.born
        ));
        let worker = self.clone();
        thread::spawn(move || {
            while !worker.has_ended() {
                match listener.accept() {
                    Ok((stream, _)) => worker.serve(stream, answer.clone()),
                    Err(_) => sleep_ms(1),
                }
            }
        });
        let worker = self.clone();
        thread::spawn(move || {
            let first = worker.ping_body("ready");
            thread::sleep(first_ping);
            worker.ping(&first);
            while !worker.has_ended() {
                sleep_ms(1200);
                if !worker.has_ended() && worker.state.has_pings.load(Ordering::SeqCst) {
                    let state = match worker.state.is_draining.load(Ordering::SeqCst) {
                        true => "draining",
                        false => "ready",
                    };
                    worker.ping(&worker.ping_body(state));
                }
            }
        });
    }

    pub fn ping_body(&self, state: &str) -> String {
        let sequence = self.state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let cold = self.cold_ms.saturating_sub(unix_ms() - self.born);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":{cold},\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, ZONES[self.zone].0, self.version, self.slots, self.born
        )
    }

    /// Sends a ping to the first control node that acknowledges it.
    pub fn ping(&self, body: &str) -> bool {
        let path = format!("/-/instances/{}", self.id);
        let start = self.zone;
        for step in 0..self.controls.len() {
            let control = self.controls[(start + step) % self.controls.len()];
            let reply = call(control, "PUT", &path, &[], body.as_bytes(), ms(1000));
            let status = reply.map_or(0, |reply| reply.status);
            if status != 200 || !body.contains("\"ready\"") || body.contains("\"sequence\":1,") {
                self.record
                    .line(format!("ping of {} at {control}: {status} {body}", self.id));
            }
            if (200..300).contains(&status) {
                return true;
            }
        }
        false
    }

    pub fn set_pings(&self, has_pings: bool) {
        self.state.has_pings.store(has_pings, Ordering::SeqCst);
    }

    /// Ends the process at once: all channels break and nobody listens.
    pub fn crash(&self) {
        self.record
            .line(format!("worker {} {} crashes", self.id, self.version));
        self.state.has_ended.store(true, Ordering::SeqCst);
        for stream in self.state.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, answer: Answer) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            self.state.streams.lock().unwrap().push(clone);
        }
        let worker = self.clone();
        thread::spawn(move || {
            let _ = worker.serve_channel(stream, &answer);
        });
    }

    fn serve_channel(&self, mut stream: TcpStream, answer: &Answer) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split(' ');
            let method = words.next().unwrap_or_default().to_string();
            let path = words.next().unwrap_or_default().to_string();
            let headers = read_headers(&mut reader)?;
            let mut request = WorkerRequest {
                method,
                path,
                headers,
                body: Vec::new(),
            };
            if request.header("transfer-encoding").is_some() {
                loop {
                    let chunk = read_chunk(&mut reader)?;
                    if chunk.is_empty() {
                        break;
                    }
                    request.body.extend_from_slice(&chunk);
                }
            } else if let Some(length) = request.header("content-length") {
                request.body = vec![0; length.parse().unwrap_or(0)];
                reader.read_exact(&mut request.body)?;
            }
            if self.has_ended() {
                return Ok(());
            }
            let is_kept = match request.header("x-expected-instance") {
                Some(id) if id != self.id => {
                    let text = format!(
                        "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        request.attempt()
                    );
                    stream.write_all(text.as_bytes())?;
                    true
                }
                _ if request.path == "/health" => {
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    );
                    stream.write_all(text.as_bytes())?;
                    true
                }
                _ => answer(self, &request, &mut stream)?,
            };
            if !is_kept {
                return Ok(());
            }
        }
    }
}

/// Head of a worker's successful response.
pub fn ok_head(request: &WorkerRequest, extra: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {0}\r\nX-Response-Signature: 3e1b.07.{0}\r\n{extra}\r\n",
        request.attempt()
    )
}

/// Streams events from `Last-Event-Id` on; each tells the worker and its version.
pub fn stream_events(
    worker: &Worker,
    request: &WorkerRequest,
    stream: &mut TcpStream,
    events: u64,
    gap: Duration,
) -> io::Result<bool> {
    let extra = "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n";
    let last = request.header("last-event-id").and_then(|text| text.parse().ok());
    let first: u64 = last.map_or(1, |last: u64| last + 1);
    stream.write_all(ok_head(request, extra).as_bytes())?;
    for number in first..=events {
        if worker.has_ended() {
            return Ok(false);
        }
        let event = format!("id: {number}\ndata: {} {}\n\n", worker.id, worker.version);
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(gap);
    }
    if worker.has_ended() {
        return Ok(false);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// A plain answer with a body.
pub fn plain_answer(
    request: &WorkerRequest,
    stream: &mut TcpStream,
    extra: &str,
    body: &str,
) -> io::Result<bool> {
    let head = ok_head(request, &format!("{extra}Content-Length: {}\r\n", body.len()));
    stream.write_all(format!("{head}{body}").as_bytes())?;
    Ok(true)
}

/// A configuration with a streaming route `/gen/`, a booking route `/book/` and a reading route
/// `/read/`.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-gen\",\"host\":\"{HOST}\",\"pathPrefix\":\"/gen/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":400,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":150,\"allowedRegions\":[]}},\
         {{\"name\":\"r-book\",\"host\":\"{HOST}\",\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"app\",\"maxAttempts\":2,\"allowAnonymous\":false,\"sessionAffinity\":false,\"resumable\":false,\"allowedRegions\":[]}},\
         {{\"name\":\"r-read\",\"host\":\"{HOST}\",\"pathPrefix\":\"/read/\",\"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"app\",\"maxAttempts\":2,\"allowAnonymous\":false,\"sessionAffinity\":false,\"resumable\":false,\"allowedRegions\":[]}}],\
         \"services\":[{{\"name\":\"pool\",\"healthCheckPath\":\"/health\",\"connectionLimit\":310,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":20.0,\"engine\":{{\"slots\":48,\"kvCacheTokens\":310801,\"kvTokenBytes\":192512,\"linkBandwidthMbps\":350000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"app\",\"healthCheckPath\":\"/health\",\"connectionLimit\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":530000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"allowedRegions\":[]}}]}}"
    )
}
