//! Process of the fleet that a test starts, stops and restarts.

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

use super::EVENT_TIMEOUT;

/// Maximum number of log lines that are printed after a failed test.
const MAX_PRINTED_LOG_LINES: usize = 40;

/// Process that is killed when the value is dropped.
pub(crate) struct FleetProcess {
    name: String,
    binary: String,
    arguments: Vec<String>,
    log_path: PathBuf,
    child: Child,
    output_lines: Receiver<String>,
    addresses: std::sync::Mutex<BTreeMap<String, SocketAddr>>,
}

impl FleetProcess {
    /// Starts a binary; its log is appended to the file `NAME.log` of the folder.
    pub(crate) fn start(folder: &Path, name: &str, binary: &str, arguments: &[&str]) -> Self {
        let log_path = folder.join(format!("{name}.log"));
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        let (child, output_lines) = spawn_process(binary, &arguments, &log_path);
        Self {
            name: name.into(),
            binary: binary.into(),
            arguments,
            log_path,
            child,
            output_lines,
            addresses: Default::default(),
        }
    }

    /// Waits until the process announces its address for a role, and returns it.
    pub(crate) fn address(&self, role: &str) -> SocketAddr {
        let mut addresses = self.addresses.lock().unwrap();
        while !addresses.contains_key(role) {
            let Ok(line) = self.output_lines.recv_timeout(EVENT_TIMEOUT) else {
                self.print_log();
                panic!("{} announced no address for {role}", self.name);
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

    /// Sends SIGKILL and waits until the process has exited.
    pub(crate) fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM, as an init system does for a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Returns whether the process has exited, and checks that its exit status is 0.
    pub(crate) fn has_exited(&mut self) -> bool {
        match self.child.try_wait().unwrap() {
            Some(status) => {
                assert!(status.success(), "{} exited with {status}", self.name);
                true
            }
            None => false,
        }
    }

    /// Suspends the process with SIGSTOP, which it cannot handle, or resumes it.
    pub(crate) fn set_suspended(&self, suspended: bool) {
        if !suspended {
            return self.send_signal(Signal::SIGCONT);
        }
        self.send_signal(Signal::SIGSTOP);
        // All threads stop once one of them has handled the signal. On a busy machine they continue
        // to answer requests for up to 40 ms after it was sent, hence the wait.
        waitid(Id::Pid(self.pid()), WaitPidFlag::WSTOPPED).unwrap();
    }

    fn send_signal(&self, signal: Signal) {
        kill(self.pid(), signal).unwrap();
    }

    fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id().try_into().unwrap())
    }

    /// Waits until the process announces an address or exits, and returns whether it exited with a
    /// failure.
    pub(crate) fn has_failed_start(&mut self) -> bool {
        // The channel closes when the process closes its standard output.
        match self.output_lines.recv_timeout(EVENT_TIMEOUT) {
            Ok(_) => false,
            Err(_) => !self.child.wait().unwrap().success(),
        }
    }

    pub(crate) fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// Restarts an exited process with the same arguments, as an init system does.
    pub(crate) fn restart(&mut self) {
        let (child, output_lines) = spawn_process(&self.binary, &self.arguments, &self.log_path);
        self.child = child;
        self.output_lines = output_lines;
        self.addresses.lock().unwrap().clear();
    }

    /// Prints the last lines of the log to standard error.
    pub(crate) fn print_log(&self) {
        let text = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        eprintln!("== {} ({} lines)", self.name, lines.len());
        for line in &lines[lines.len().saturating_sub(MAX_PRINTED_LOG_LINES)..] {
            eprintln!("{line}");
        }
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // Errors are ignored because the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn_process(binary: &str, arguments: &[String], log_path: &Path) -> (Child, Receiver<String>) {
    let log_file: File = OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path)
        .unwrap();
    let mut child = Command::new(binary)
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log_file)
        .spawn()
        .unwrap();
    let output_lines = read_lines(child.stdout.take().unwrap());
    (child, output_lines)
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
