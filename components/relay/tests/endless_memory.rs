//! Memory of a relay while targets send bytes without end. This test has a process of its own, since
//! it measures the memory of the process.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{TargetScript, TargetStep, TestFleet, TestTarget, header, plan};

/// Number of concurrent requests.
const REQUESTS: usize = 4;

/// Memory that each of them may occupy. A host with 88 MB serves dozens of requests at once.
const MAX_KB_PER_REQUEST: u64 = 4 << 10;

/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_millis(1_200);

/// Resident memory of this process.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.unwrap().split_whitespace().nth(1);
    number.unwrap().parse().unwrap()
}

/// Guards against memory that grows with what a target sends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_occupy_little_memory() {
    let script: TargetScript = Arc::new(|head: &str| {
        let id = header(head, "request-id").unwrap();
        let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n\r\n");
        TargetStep::Endless(start.into_bytes(), vec![b'y'; 256 << 10], Duration::ZERO)
    });
    let target = TestTarget::start("target-1", script).await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let before_kb = resident_kb();

    let calls = (0..REQUESTS).map(|number| {
        let request = fleet.request_with_deadline("/once/x", &format!("r{number}"), DEADLINE);
        tokio::spawn(async move {
            let mut response = request.send().await.unwrap();
            while let Ok(Some(_)) = response.chunk().await {}
        })
    });
    let calls: Vec<_> = calls.collect();
    let mut max_kb = before_kb;
    while calls.iter().any(|call| !call.is_finished()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
        max_kb = max_kb.max(resident_kb());
    }

    let growth_kb = (max_kb - before_kb) / REQUESTS as u64;
    assert!(growth_kb < MAX_KB_PER_REQUEST, "{growth_kb} kB per request");
}
