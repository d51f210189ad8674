//! One process of the fleet.

#![allow(dead_code, reason = "each test binary uses a part of this module")]

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};

use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{Id, WaitPidFlag, waitid};
use nix::unistd::Pid;
use sha2::{Digest, Sha256};

use super::PATIENCE;

/// Log lines that are printed after a failed test.
const LOG_LINES: usize = 40;

/// A started binary. It is killed when it is dropped.
pub(crate) struct FleetProcess {
    name: String,
    binary: String,
    arguments: Vec<String>,
    log: PathBuf,
    child: Child,
    lines: Receiver<String>,
    addresses: std::sync::Mutex<BTreeMap<String, SocketAddr>>,
}

impl FleetProcess {
    /// Starts a binary, whose log goes to a file of the folder.
    pub(crate) fn start(folder: &Path, name: &str, binary: &str, arguments: &[&str]) -> Self {
        let log = folder.join(format!("{name}.log"));
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let (child, lines) = spawn(binary, &arguments, &log);
        Self {
            name: name.into(),
            binary: binary.into(),
            arguments,
            log,
            child,
            lines,
            addresses: Default::default(),
        }
    }

    /// Address that the process announces for a role; waits for it.
    pub(crate) fn address(&self, role: &str) -> SocketAddr {
        let mut addresses = self.addresses.lock().unwrap();
        while !addresses.contains_key(role) {
            let Ok(line) = self.lines.recv_timeout(PATIENCE) else {
                self.print_log();
                panic!("{} announces no address for {role}", self.name);
            };
            if let Some((role, address)) = line
                .strip_prefix("listening ")
                .and_then(|rest| rest.split_once(' '))
            {
                addresses.insert(role.into(), address.parse().unwrap());
            }
        }
        addresses[role]
    }

    /// Kills the process with SIGKILL.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM, as the host's init system does for a planned stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended by itself without a failure.
    pub(crate) fn has_stopped(&mut self) -> bool {
        match self.child.try_wait().unwrap() {
            Some(status) => {
                assert!(status.success(), "{} ended with {status}", self.name);
                true
            }
            None => false,
        }
    }

    /// Stops the process without a chance to react, or lets it go on.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        if !frozen {
            return self.signal(Signal::SIGCONT);
        }
        self.signal(Signal::SIGSTOP);
        // The signal stops the other threads only when one of them has handled it. On a busy machine
        // they go on for up to 40 ms after it was sent, and answer requests.
        waitid(Id::Pid(self.id()), WaitPidFlag::WSTOPPED).unwrap();
    }

    fn signal(&self, signal: Signal) {
        kill(self.id(), signal).unwrap();
    }

    fn id(&self) -> Pid {
        Pid::from_raw(self.child.id().try_into().unwrap())
    }

    /// Whether the process has ended by itself; waits until it has or announces an address.
    pub(crate) fn has_ended(&mut self) -> bool {
        // The channel closes when the process closes its output.
        match self.lines.recv_timeout(PATIENCE) {
            Ok(_) => false,
            Err(_) => !self.child.wait().unwrap().success(),
        }
    }

    /// Text of the log.
    pub(crate) fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Starts a killed process again, as the host's init system does.
    pub(crate) fn restart(&mut self) {
        let (child, lines) = spawn(&self.binary, &self.arguments, &self.log);
        self.child = child;
        self.lines = lines;
        self.addresses.lock().unwrap().clear();
    }

    /// Prints the end of the log.
    pub(crate) fn print_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        eprintln!("== {} ({} lines)", self.name, lines.len());
        for line in &lines[lines.len().saturating_sub(LOG_LINES)..] {
            eprintln!("{line}");
        }
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(binary: &str, arguments: &[String], log: &Path) -> (Child, Receiver<String>) {
    let log: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    let mut child = Command::new(binary)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .unwrap();
    let lines = read_lines(child.stdout.take().unwrap());
    (child, lines)
}

fn read_lines(output: ChildStdout) -> Receiver<String> {
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    lines
}

pub(crate) fn sha256_hex(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
