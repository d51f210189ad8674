//! The platform: machines with the processes of the deploy file, and the operator.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of the settings, as in `sites/zub-router.toml`.
pub const CONFIGURATION_APPLY: Duration = Duration::from_millis(2_500);
pub const RECOVERY: Duration = Duration::from_secs(12);

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const ZONES: [&str; 3] = ["bohemia-a", "moravia-a", "silesia-a"];

/// Log of what was sent, answered and run, with the time since its start.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> &'static Self {
        let file = Mutex::new(File::create(path).expect("the record can be created"));
        Box::leak(Box::new(Self { file, started_at: Instant::now() }))
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

struct Process {
    role: &'static str,
    child: Child,
}

/// A machine that runs both roles and has a disk.
pub struct Machine {
    pub name: String,
    pub ip: String,
    zone: &'static str,
    disk: PathBuf,
    processes: Vec<Process>,
}

impl Machine {
    pub fn signal(&self, signal: i32) {
        for process in &self.processes {
            unsafe { kill(process.child.id() as i32, signal) };
        }
    }

    /// Ends all processes at once.
    pub fn end(&mut self) {
        self.signal(SIGKILL);
        for process in &mut self.processes {
            let _ = process.child.wait();
        }
        self.processes.clear();
    }
}

pub struct Fleet {
    pub record: &'static Record,
    folder: PathBuf,
    port: u16,
    pub memory_mb: u32,
    pub machines: Vec<Machine>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.signal(SIGCONT);
            machine.end();
        }
        match std::env::var("KEEP_LOGS") {
            Ok(_) => self.record.line(&format!("logs in {}", self.folder.display())),
            Err(_) => {
                let _ = fs::remove_dir_all(&self.folder);
            }
        }
    }
}

/// Start line of a role in the deploy file.
fn run_line(role: &str) -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("run in the repository's root");
    let section = text.split(&format!("[roles.{role}]")).nth(1).expect("the role is deployed");
    let line = section.lines().find_map(|line| line.strip_prefix("run = \""));
    let words = line.expect("the role has a run line").trim_end_matches('"').split(' ');
    words.map(String::from).collect()
}

impl Fleet {
    /// Creates three machines of the core, one in each zone, and starts nothing.
    pub fn create(record: &'static Record) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("bilberry-review-3-{id}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let net = 16 + id % 200;
        let machine = |number: usize| {
            let name = format!("front-{}-1", ZONES[number]);
            Machine {
                ip: format!("127.{net}.{}.{}", id / 200 % 250, number + 1),
                zone: ZONES[number],
                disk: folder.join(format!("{name}-disk-1")),
                processes: Vec::new(),
                name,
            }
        };
        let machines: Vec<Machine> = (0..3).map(machine).collect();
        let is_free = |port: u16| {
            machines.iter().all(|machine| {
                let tcp = |port| TcpListener::bind((machine.ip.as_str(), port)).is_ok();
                let udp = |port| UdpSocket::bind((machine.ip.as_str(), port)).is_ok();
                (0..3).all(|offset| tcp(port + offset)) && (4..8).all(|offset| udp(port + offset))
            })
        };
        let port = (21_000..).step_by(16).find(|port| is_free(*port)).expect("ports are free");
        Self { record, folder, port, memory_mb: 110, machines }
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        self.address(machine, 0)
    }

    pub fn ready(&self, machine: usize) -> SocketAddr {
        self.address(machine, 1)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.address(machine, 2)
    }

    fn address(&self, machine: usize, offset: u16) -> SocketAddr {
        let ip = self.machines[machine].ip.parse().unwrap();
        SocketAddr::new(ip, self.port + offset)
    }

    fn settings(&self, machine: usize, role: &str, seeds: &[usize], is_first: bool) -> String {
        let this = &self.machines[machine];
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.control(*seed)))
            .collect();
        let serves = match role {
            "entry" => "front",
            _ => "control",
        };
        let listen = match role {
            "entry" => format!(
                "front = \"{}\"\nready = \"{}\"",
                self.front(machine),
                self.ready(machine)
            ),
            _ => format!("control = \"{}\"", self.control(machine)),
        };
        let data = match role {
            "control" => format!("dataDirectory = \"{}\"", this.disk.display()),
            _ => String::new(),
        };
        format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"front\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPortRange = [{first}, {last}]\nseeds = [{seeds}]\nfirstStart = {is_first}\n\
             includeInTolerance = true\n{data}\ndiscovery = \"registration\"\n\
             entryPoint = \"virtual_ip\"\nheartbeatIntervalMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
             \"stream\",\"tenants\",\"places\"]\nconfigurationMode = \"highest\"\n\
             [zones]\nbohemia-a = \"bohemia\"\nmoravia-a = \"moravia\"\nsilesia-a = \"silesia\"\n\
             [listen]\n{listen}\n\
             [limits]\ncpuShare = 0.45\ncores = 1\nmemoryMb = {memory}\nfileDescriptors = 4100\n\
             linkBandwidthMbps = 1000.0\ndiskMb = 64\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactWindowMs = 3000\n\
             ackTimeoutMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 2500\ngracePeriodS = 8\n\
             lossSlackMs = 200\nconfigurationApplyMs = 2500\ndowngradeSlackMs = 250\n\
             maxStretchMs = 5000\nstrictRevocation = true\nrevocationMs = 5000\n\
             retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 58\n\
             coldBurstFactor = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 12\n\
             passMs = 200\nreuseWindowS = 4.7\nquotaWindowS = 4\n",
            name = this.name,
            ip = this.ip,
            zone = this.zone,
            region = this.zone.trim_end_matches("-a"),
            first = self.port + 4,
            last = self.port + 13,
            seeds = seeds.join(","),
            memory = self.memory_mb,
        )
    }

    /// Starts both processes of a machine.
    pub fn start(&mut self, machine: usize, seeds: &[usize], is_first: bool) {
        self.start_roles(machine, &["control", "entry"], seeds, is_first);
    }

    /// Starts the entry of a machine again.
    pub fn start_entry(&mut self, machine: usize) {
        self.start_roles(machine, &["entry"], &[0, 1, 2], false);
    }

    /// Ends the entry of a machine.
    pub fn end_entry(&mut self, machine: usize) {
        for process in &mut self.machines[machine].processes {
            if process.role == "entry" {
                let _ = process.child.kill();
                let _ = process.child.wait();
            }
        }
        self.machines[machine].processes.retain(|process| process.role != "entry");
    }

    fn start_roles(
        &mut self,
        machine: usize,
        roles: &[&'static str],
        seeds: &[usize],
        is_first: bool,
    ) {
        let mut processes = Vec::new();
        for role in roles.iter().copied() {
            let settings = self.settings(machine, role, seeds, is_first);
            let name = &self.machines[machine].name;
            let file = self.folder.join(format!("{name}-{role}.toml"));
            fs::write(&file, settings).expect("the settings can be written");
            let line = run_line(role);
            let log = self.folder.join(format!("{name}-{role}.log"));
            let log = File::options().create(true).append(true).open(log).unwrap();
            let mut command = Command::new(&line[0]);
            command.args(&line[1..]).env_clear().env("BILBERRYCRANK_CONFIG", file);
            for name in ["PATH", "HOME"] {
                command.env(name, std::env::var(name).unwrap_or_default());
            }
            command.stdin(Stdio::null()).stderr(log.try_clone().unwrap()).stdout(log);
            let child = command.spawn().expect("the build of the deploy file was run before");
            processes.push(Process { role, child });
        }
        fs::create_dir_all(&self.machines[machine].disk).expect("the disk folder can be created");
        let roles: Vec<&str> = processes.iter().map(|process| process.role).collect();
        let this = &mut self.machines[machine];
        this.processes.extend(processes);
        let seeds: Vec<&str> = seeds.iter().map(|seed| ZONES[*seed]).collect();
        self.record.line(&format!("started {} ({roles:?}), seeds in {seeds:?}", this.name));
    }

    /// Starts the whole system for the first time.
    pub fn start_all(&mut self) {
        for machine in 0..3 {
            self.start(machine, &[0, 1, 2], true);
        }
    }

    /// Gives a machine an empty disk.
    pub fn replace_disk(&mut self, machine: usize) {
        let this = &mut self.machines[machine];
        this.disk = self.folder.join(format!("{}-disk-2", this.name));
        self.record.line(&format!("{} has lost its disk", this.name));
    }

    /// Waits until the entries of the machines are ready.
    pub fn wait_until_ready(&self, machines: &[usize]) -> Result<(), String> {
        let request = http::request_bytes("GET", "/-/readiness", &[("Host", "x".into())], "");
        let is_ready = |machine: &usize| {
            let called = http::call(self.ready(*machine), &request, Duration::from_secs(1));
            called.is_ok_and(|(head, _)| head.status() == 200)
        };
        for _ in 0..150 {
            if machines.iter().all(is_ready) {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("the entries do not become ready".into())
    }

    /// One try of an operator's call at one machine. Waits a second for the answer and then closes
    /// its connection.
    pub fn try_order(&self, machine: usize, method: &str, path: &str, body: &str) -> u16 {
        let headers = [
            ("Host", "control".to_string()),
            ("Content-Type", "application/json".to_string()),
        ];
        let request = http::request_bytes(method, path, &headers, body);
        let result = http::call(self.control(machine), &request, Duration::from_secs(1));
        let status = result.as_ref().map_or(0, |(head, _)| head.status());
        let text = match &result {
            Ok((_, body)) => format!("{status} {}", body.chars().take(60).collect::<String>()),
            Err(error) => format!("no answer ({})", error.kind()),
        };
        let name = &self.machines[machine].name;
        self.record.line(&format!("operator: {method} {path} at {name}: {text}"));
        status
    }

    /// Sends an operator's call to the machines in turn until one acknowledges it.
    pub fn order(
        &self,
        machines: &[usize],
        method: &str,
        path: &str,
        body: &str,
    ) -> Result<Instant, String> {
        for round in 0..20 {
            for machine in machines {
                if self.try_order(*machine, method, path, body) == 200 {
                    return Ok(Instant::now());
                }
            }
            sleep(Duration::from_millis(100 * (round + 1).min(5)));
        }
        Err(format!("{method} {path} was not acknowledged"))
    }

    /// Resident memory of a process, in kilobytes; 0 if it has ended.
    pub fn memory_kb(&self, machine: usize, role: &str) -> u64 {
        let mut processes = self.machines[machine].processes.iter();
        let Some(process) = processes.find(|process| process.role == role) else {
            return 0;
        };
        let text = fs::read_to_string(format!("/proc/{}/status", process.child.id()));
        let text = text.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let word = line.and_then(|line| line.split_whitespace().next());
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Version of the configuration that a machine reads back; `None` without a 200.
    pub fn read_version(&self, machine: usize) -> Option<u64> {
        let request = http::request_bytes("GET", "/-/configuration", &[("Host", "c".into())], "");
        let result = http::call(self.control(machine), &request, Duration::from_secs(1));
        let (head, body) = result.ok()?;
        if head.status() != 200 {
            return None;
        }
        let text = body.split("\"version\":").nth(1)?;
        let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    }
}

/// Configuration with one route to the one service `huvo11a`.
pub fn configuration(version: u64, kind: &str, is_resumable: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/lohu930/\",\"kind\":\"{kind}\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":400,\"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2,\
         \"allowAnonymous\":false,\"sessionAffinity\":true,\"resumable\":{is_resumable},\
         \"targetGapMs\":150,\"allowedRegions\":[]}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthCheckPath\":\"/health\",\
         \"connectionLimit\":320,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\
         \"coldPerS\":0.0,\"engine\":{{\"slots\":48,\"kvCacheTokens\":553911,\
         \"kvTokenBytes\":192512,\"linkBandwidthMbps\":350000.0,\"moves\":true,\
         \"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handleS\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":530000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\
         \"allowedRegions\":[]}}]}}"
    )
}

/// The same with a second route, `/puxa403/`, to the service `wuno96b`.
pub fn configuration_with_second_route(version: u64) -> String {
    let route = format!(
        "{{\"name\":\"r-2\",\"host\":\"{HOST}\",\"pathPrefix\":\"/puxa403/\",\
         \"kind\":\"idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,\
         \"service\":\"wuno96b\",\"maxAttempts\":2,\"allowAnonymous\":false,\
         \"sessionAffinity\":false,\"resumable\":false,\"allowedRegions\":[]}}],\"services\":[\
         {{\"name\":\"wuno96b\",\"healthCheckPath\":\"/health\",\"connectionLimit\":120,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}},"
    );
    let first = configuration(version, "idempotent", false);
    first.replace("}],\"services\":[", &format!("}},{route}"))
}
