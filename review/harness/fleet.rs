//! The processes of a small deployment.

use std::fmt::Write as _;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{self, unix_millis};
use crate::record::Record;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that the case has started, and their temporary folder.
static STARTED: Mutex<(Vec<Child>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Ends all processes that the case has started, and removes its temporary folder.
pub fn kill_all() {
    let mut started = STARTED.lock().unwrap_or_else(|broken| broken.into_inner());
    for child in &mut started.0 {
        let _ = child.kill();
        let _ = child.wait();
    }
    started.0.clear();
    if let Some(folder) = started.1.take()
        && std::env::var_os("KEEP").is_none()
    {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Memory of a process without the pages of files, in megabytes; 0 if it has ended.
pub fn memory_mb(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1_000
}

/// Zones of the deployment and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("bohemia-a", "bohemia"),
    ("moravia-a", "moravia"),
    ("silesia-a", "silesia"),
];

/// `memoryMb` of the machines, above which the platform kills a process.
pub const MEMORY_MB: u64 = 110;

const FRONT_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const CONTROL_PORT: u16 = 8785;

/// One `front` machine.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub zone: usize,
    pub has_control: bool,
    /// Ids of its processes.
    pub pids: Vec<u32>,
    /// Id of its control process, if it has one.
    pub control_pid: u32,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT_PORT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CONTROL_PORT)
    }
}

/// The machines of the deployment.
pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    network: [u8; 2],
}

impl Fleet {
    /// Starts three machines with control and entry, and `extra` with an entry only.
    pub fn start(record: &Record, extra: usize) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("bilberry-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let network = free_network()?;
        let machines = (0..3 + extra).map(|index| Machine {
            name: format!("front-{}-{}", ZONES[index % 3].0, index / 3 + 1),
            ip: IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], 10 + index as u8)),
            zone: index % 3,
            has_control: index < 3,
            pids: Vec::new(),
            control_pid: u32::MAX,
        });
        let mut fleet = Self {
            machines: machines.collect(),
            folder,
            network,
        };
        for index in 0..fleet.machines.len() {
            if fleet.machines[index].has_control {
                fleet.start_role(index, "control")?;
            }
            fleet.start_role(index, "entry")?;
        }
        record.note(&format!("{} machines started", fleet.machines.len()));
        Ok(fleet)
    }

    /// Address for a worker.
    pub fn worker_address(&self, number: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], 100 + number);
        SocketAddr::new(IpAddr::V4(ip), 8782)
    }

    /// Addresses of the control nodes.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let nodes = self.machines.iter().filter(|machine| machine.has_control);
        nodes.map(Machine::control).collect()
    }

    /// Starts a process of a machine.
    pub fn start_role(&mut self, index: usize, role: &str) -> Result<(), String> {
        let machine = &self.machines[index];
        let base = self.folder.join(format!("{}-{role}", machine.name));
        let settings = base.with_extension("toml");
        fs::write(&settings, self.settings(machine, role)).map_err(|error| error.to_string())?;
        let line = run_line(role)?;
        let mut words = line.split_whitespace();
        let program = words.next().ok_or("the deploy file has an empty command")?;
        let log = File::create(base.with_extension("log")).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(program)
            .args(words)
            .env("BILBERRYCRANK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.machines[index].pids.push(child.id());
        if role == "control" {
            self.machines[index].control_pid = child.id();
        }
        STARTED.lock().unwrap().0.push(child);
        Ok(())
    }

    fn settings(&self, machine: &Machine, role: &str) -> String {
        let (ip, (zone, region)) = (machine.ip, ZONES[machine.zone]);
        let is_control = role == "control";
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let mut text = format!(
            "nodeName = \"{}\"\nrole = \"{role}\"\nmachineClass = \"front\"\n\
             serves = [\"{}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPortRange = [7400,7415]\nseeds = [{}]\nfirstStart = true\n\
             includeInTolerance = {}\n",
            machine.name,
            if is_control { "control" } else { "front" },
            seeds.join(","),
            machine.has_control,
        );
        if is_control {
            let data = self.folder.join(format!("{}-data", machine.name));
            let _ = fs::create_dir_all(&data);
            let _ = writeln!(text, "dataDirectory = \"{}\"", data.display());
        }
        text += "discovery = \"registration\"\nentryPoint = \"virtual_ip\"\n\
                 heartbeatIntervalMs = 1200\nconfigurationMode = \"highest\"\n\
                 contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\
                 \"engine\",\"stream\",\"tenants\",\"places\"]\n[zones]\n";
        for (zone, region) in ZONES {
            let _ = writeln!(text, "{zone} = \"{region}\"");
        }
        text += "[listen]\n";
        if is_control {
            let _ = writeln!(text, "control = \"{}\"", machine.control());
        } else {
            let _ = writeln!(text, "front = \"{}\"", machine.front());
            let _ = writeln!(text, "ready = \"{}\"", machine.ready());
        }
        let _ = writeln!(text, "[limits]\nmemoryMb = {MEMORY_MB}");
        text + "cpuShare = 0.45\ncores = 1\nfileDescriptors = 4100\n\
                linkBandwidthMbps = 1000.0\ndiskMb = 64\n\
                [faultTolerance]\nmachines = 1\nzones = 1\nregions = 1\n\
                [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactWindowMs = 3000\n\
                ackTimeoutMs = 4000\ncatchUpS = 4\ndrainTimeoutMs = 2500\ngracePeriodS = 8\n\
                lossSlackMs = 200\nconfigurationApplyMs = 2500\ndowngradeSlackMs = 250\n\
                maxStretchMs = 5000\nstrictRevocation = true\nrevocationMs = 5000\n\
                retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetSlack = 58\n\
                coldBurstFactor = 1.5\ncoldSlack = 5\nevacuationMs = 5000\nrecoveryS = 12\n\
                passMs = 200\nreuseWindowS = 4.7\nquotaWindowS = 4\n"
    }

    /// The operator's way to the control nodes.
    pub fn publisher(&self) -> Publisher {
        Publisher(self.controls())
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self, record: &Record) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            loop {
                let timeout = Duration::from_secs(1);
                let reply = http::call(machine.ready(), "GET", "/-/readiness", "", timeout);
                if matches!(reply, Ok((200, _))) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{} did not become ready", machine.name));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        record.note("all entries are ready");
        Ok(())
    }
}

/// Operator that publishes configurations.
#[derive(Clone)]
pub struct Publisher(Vec<SocketAddr>);

impl Publisher {
    /// Sends a configuration until a node acknowledges it. Returns the time of the acknowledgement.
    pub fn publish(&self, record: &Record, text: &str) -> Result<f64, String> {
        let address = self.publish_within(text, Duration::from_secs(20))?;
        let at = record.now();
        record.note_at(
            at,
            &format!("operator: PUT /-/configuration to {address}: 200"),
        );
        Ok(at)
    }

    /// Sends a configuration until a node acknowledges it, for this time at most. Returns the address
    /// of that node.
    pub fn publish_within(&self, text: &str, time: Duration) -> Result<SocketAddr, String> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            for address in &self.0 {
                let timeout = Duration::from_secs(1);
                let reply = http::call(*address, "PUT", "/-/configuration", text, timeout);
                match reply.map_or(0, |(status, _)| status) {
                    200 => return Ok(*address),
                    400 => return Err("the configuration was refused".into()),
                    _ => {}
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("no control node acknowledged the configuration".into())
    }
}

/// Command of a role in the deploy file.
fn run_line(role: &str) -> Result<String, String> {
    let text = fs::read_to_string(Path::new("deploy/system.toml"))
        .map_err(|error| format!("deploy/system.toml: {error}"))?;
    let section = text.split(&format!("[roles.{role}]")).nth(1);
    let mut lines = section.unwrap_or("").lines();
    let line = lines.find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    line.map(Into::into)
        .ok_or_else(|| format!("the deploy file has no command for {role}"))
}

/// Two middle bytes of a loopback network on which the ports of the deployment are free.
fn free_network() -> Result<[u8; 2], String> {
    let seed = unix_millis() as u32 ^ (std::process::id() << 8);
    for attempt in 0..50u32 {
        let hash = (seed.wrapping_add(attempt)).wrapping_mul(2_654_435_761);
        let network = [64 + (hash >> 24) as u8 % 128, (hash >> 16) as u8];
        let is_free = (0..8).all(|machine| {
            let ip = Ipv4Addr::new(127, network[0], network[1], 10 + machine);
            let tcp = [FRONT_PORT, READY_PORT, CONTROL_PORT, 9101, 9102];
            tcp.iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
                && [7400, 7401]
                    .iter()
                    .all(|port| UdpSocket::bind((ip, *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err("no free loopback network was found".into())
}
