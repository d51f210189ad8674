//! Fault: hundreds of changes of a large configuration, and the platform kills control processes that
//! use more than `memoryMb`.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{HOST, MODEL, TENANTS, configuration, sleep_ms};
use crate::fleet::{Fleet, MEMORY_MB, Publisher, SIGKILL, memory_mb, signal};
use crate::record::Record;

/// Routes by which the configuration has grown: three times the 350 of `big_config` in site files.
const MORE_ROUTES: usize = 1_050;

/// Number of changes of each of two operators.
const CHANGES: u32 = 200;

/// Interval between two changes of an operator, that of `config_storm` in site files.
const INTERVAL: Duration = Duration::from_millis(330);

/// Time for which an operator sends a change again that is not acknowledged.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Number of ends of a control process, on half of the core, from which the rule is broken.
const MAX_ENDS: usize = 3;

/// Delay after which the platform starts a killed process again, in milliseconds.
const RESTART_MS: u64 = 500;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Arc::new(Mutex::new(Fleet::start(record, 0)?));
    let publisher = fleet.lock().unwrap().publisher();
    publisher.publish(record, &configuration(1, &TENANTS, 0.0))?;
    fleet.lock().unwrap().wait_ready(record)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<[usize; 3]>> = Arc::default();
    let platform = {
        let (fleet, is_over) = (fleet.clone(), is_over.clone());
        let (ends, record) = (ends.clone(), record.clone());
        std::thread::spawn(move || watch(&record, &fleet, &ends, &is_over))
    };
    let routes = if has_trouble { MORE_ROUTES } else { 0 };
    let more: String = (0..routes).map(added_route).collect();
    let operators: Vec<_> = (0..2)
        .map(|operator| {
            let (record, publisher, more) = (record.clone(), publisher.clone(), more.clone());
            let ends = ends.clone();
            std::thread::spawn(move || operate(&record, operator, &publisher, &more, &ends))
        })
        .collect();
    let mut acknowledged = 0;
    for operator in operators {
        acknowledged += operator.join().map_err(|_| "an operator failed")?;
    }
    is_over.store(true, Ordering::SeqCst);
    let most = platform.join().map_err(|_| "the platform failed")?;
    let ends = ends.lock().unwrap();
    record.note(&format!(
        "{acknowledged} changes acknowledged; at most {most} MB in one control process; control \
         processes killed for their memory on each machine of the core: {ends:?}"
    ));
    if acknowledged < 100 {
        return Err("too few changes were acknowledged".into());
    }
    Ok(!has_half_ended(&ends))
}

fn has_half_ended(ends: &[usize; 3]) -> bool {
    ends.iter().filter(|count| **count >= MAX_ENDS).count() >= 2
}

/// Sends the changes of one operator, and returns how many were acknowledged.
fn operate(
    record: &Record,
    operator: u32,
    publisher: &Publisher,
    more: &str,
    ends: &Mutex<[usize; 3]>,
) -> u32 {
    let mut acknowledged = 0;
    for change in 0..CHANGES {
        let started = Instant::now();
        let version = 2 + 2 * change + operator;
        let text = configuration(version, &TENANTS, 0.0);
        let text = text.replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1);
        let published = publisher.publish_within(&text, MAX_WAIT);
        if let Err(reason) = published {
            record.note(&format!(
                "operator {operator}: version {version}: {reason} within {MAX_WAIT:?}"
            ));
            break;
        }
        acknowledged += 1;
        if change % 25 == 0 {
            let size = text.len();
            record.note(&format!(
                "operator {operator}: version {version}, {size} bytes, is acknowledged"
            ));
        }
        if has_half_ended(&ends.lock().unwrap()) {
            break;
        }
        std::thread::sleep(INTERVAL.saturating_sub(started.elapsed()));
    }
    acknowledged
}

/// Text of a route by which the configuration has grown.
fn added_route(number: usize) -> String {
    format!(
        "{{\"name\":\"r-{number:07}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/idle{number}/\",\
         \"kind\":\"streaming\",\"timeoutMs\":6000,\"targetLatencyMs\":400,\"priority\":1,\
         \"service\":\"{MODEL}\",\"maxAttempts\":2,\"allowAnonymous\":false,\
         \"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":150,\"allowedRegions\":[]}},"
    )
}

/// Kills control processes above the memory of their machine, and starts them again. Returns the
/// most memory that one has used.
fn watch(
    record: &Record,
    fleet: &Mutex<Fleet>,
    ends: &Mutex<[usize; 3]>,
    is_over: &AtomicBool,
) -> u64 {
    let mut most = 0;
    let mut restarts: Vec<(f64, usize)> = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        sleep_ms(5);
        let mut fleet = fleet.lock().unwrap();
        for index in 0..3 {
            let pid = fleet.machines[index].control_pid;
            let used = memory_mb(pid);
            most = most.max(used);
            if used > MEMORY_MB {
                let name = fleet.machines[index].name.clone();
                record.note(&format!(
                    "platform: control of {name} uses {used} MB, more than {MEMORY_MB}: killed"
                ));
                signal(pid, SIGKILL);
                fleet.machines[index].control_pid = u32::MAX;
                ends.lock().unwrap()[index] += 1;
                restarts.push((record.now() + RESTART_MS as f64 / 1000.0, index));
            }
        }
        let now = record.now();
        let due: Vec<usize> = restarts
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, index)| *index)
            .collect();
        restarts.retain(|(at, _)| *at > now);
        for index in due {
            let started = fleet.start_role(index, "control");
            record.note(&format!(
                "platform: control of {} starts again: {started:?}",
                fleet.machines[index].name
            ));
        }
    }
    most
}
