//! A configuration takes away the last key. Requests with that key, with a key that no
//! configuration ever held, and without a key are run afterwards.

#[path = "../harness-2/common.rs"]
mod common;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;

/// `revocationMs` of the settings, after which the key must not be accepted by any machine.
const REVOCATION_MS: u64 = 5_000;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::new(Path::new(&folder));
    let mut fleet = Fleet::new(&record, 3);
    start_watchdog(&record, &fleet.folder, Duration::from_secs(90));
    fleet.start_all();
    sleep_ms(1_500);
    fleet.publish(&configuration(7));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (seen, log) = (runs.clone(), record.clone());
    let answer: Answer = Arc::new(move |worker, request, stream| {
        let tenant = request.header("x-tenant").unwrap_or("none").to_string();
        log.line(format!(
            "worker {} runs {} {} {}, tenant {tenant}",
            worker.id,
            request.attempt(),
            request.method,
            request.path
        ));
        seen.lock().unwrap().push(request.attempt());
        plain_answer(request, stream, "", "booked")
    });
    for index in 0..3 {
        Worker::new(&fleet, index, "app", "v1", 6).start(Duration::ZERO, answer.clone());
    }
    fleet.wait_ready();
    sleep_ms(3_000);

    let send = |what: &str, authorization: Option<String>| -> usize {
        let mut run_count = 0;
        for index in 0..3 {
            let attempt = attempt_id();
            let mut headers = client_headers(&attempt, 2_000);
            headers.retain(|(name, _)| *name != "Authorization");
            if let Some(value) = &authorization {
                headers.push(("Authorization", value.clone()));
            }
            let front = fleet.front(index);
            let reply = call(front, "POST", "/book/4", &headers, b"{}", ms(3_000));
            let status = reply.map_or(0, |reply| reply.status);
            let has_run = runs.lock().unwrap().contains(&attempt);
            run_count += usize::from(has_run);
            record.line(format!("{what} {attempt} at {front}: {status}, run: {has_run}"));
        }
        run_count
    };
    let held = Some(format!("Token {KEY}"));
    let never_held = Some("Token 0000never0held00000".to_string());

    let before = send("key in force", held.clone());
    let before_unknown = send("key never held", never_held.clone());
    let before_none = send("no key", None);
    if before != 3 || before_unknown + before_none != 0 {
        record.say(format!(
            "before the change: {before} of 3 run with the key, {before_unknown} and {before_none} without"
        ));
        finish(&record, &fleet.folder, 2);
    }
    let (start, end) = (configuration(8).find("\"tenants\":[").unwrap(), configuration(8).len());
    let body = match has_trouble() {
        // The last tenant leaves.
        true => format!("{}\"tenants\":[]}}", &configuration(8)[..start]),
        // Another change, which keeps the key.
        false => configuration(8)[..end].to_string(),
    };
    fleet.publish(&body);
    sleep_ms(REVOCATION_MS + 1_500);
    let revoked = send("key taken away, or still in force with TROUBLE=0", held);
    let unknown = send("key never held", never_held);
    let none = send("no key", None);
    record.say(format!(
        "of 3 each, run after the change: {revoked} with the first key, {unknown} with a key never held, {none} without a key"
    ));
    let is_broken = match has_trouble() {
        true => revoked + unknown > 0,
        false => unknown + none > 0,
    };
    if !has_trouble() && revoked != 3 {
        finish(&record, &fleet.folder, 2);
    }
    finish(&record, &fleet.folder, i32::from(is_broken))
}
