//! On a route that also takes requests without a key, requests with a key that was taken away, or that
//! no configuration ever held, are run.

#[path = "../harness-2/common.rs"]
mod common;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;

/// `revocationMs` of the settings, after which the key must not be accepted by any machine.
const REVOCATION_MS: u64 = 5_000;
const OTHER_KEY: &str = "k7b2ex5wa5xwyhks8nbk";

/// Configuration in which `/read/` is anonymous, with a tenant that stays and, unless `is_revoked`, the
/// tenant that holds [`KEY`].
fn anonymous_configuration(version: u64, is_revoked: bool) -> String {
    let text = configuration(version);
    let (head, read) = text.split_once("\"name\":\"r-read\"").expect("the route is there");
    let read = read.replacen("\"allowAnonymous\":false", "\"allowAnonymous\":true", 1);
    let text = format!("{head}\"name\":\"r-read\"{read}");
    let start = text.find("\"tenants\":[").expect("there are tenants") + "\"tenants\":[".len();
    let other = format!("{{\"name\":\"mavo118\",\"apiKeys\":[\"{OTHER_KEY}\"],\"allowedRegions\":[]}}");
    match is_revoked {
        true => format!("{}{other}]}}", &text[..start]),
        false => format!("{}{other},{}", &text[..start], &text[start..]),
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::new(Path::new(&folder));
    let mut fleet = Fleet::new(&record, 3);
    start_watchdog(&record, &fleet.folder, Duration::from_secs(90));
    fleet.start_all();
    sleep_ms(1_500);
    fleet.publish(&anonymous_configuration(7, false));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (seen, log) = (runs.clone(), record.clone());
    let answer: Answer = Arc::new(move |worker, request, stream| {
        let tenant = request.header("x-tenant").unwrap_or("none").to_string();
        log.line(format!("worker {} runs {}, tenant {tenant}", worker.id, request.attempt()));
        seen.lock().unwrap().push(request.attempt());
        plain_answer(request, stream, "", "record")
    });
    for index in 0..3 {
        Worker::new(&fleet, index, "app", "v1", 6).start(Duration::ZERO, answer.clone());
    }
    fleet.wait_ready();
    sleep_ms(3_000);
    let send = |what: &str, key: Option<&str>| -> usize {
        let mut run_count = 0;
        for index in 0..3 {
            let attempt = attempt_id();
            let mut headers = client_headers(&attempt, 2_000);
            headers.retain(|(name, _)| *name != "Authorization");
            if let Some(key) = key {
                headers.push(("Authorization", format!("Token {key}")));
            }
            let front = fleet.front(index);
            let reply = call(front, "GET", "/read/4", &headers, b"", ms(3_000));
            let status = reply.map_or(0, |reply| reply.status);
            let has_run = runs.lock().unwrap().contains(&attempt);
            run_count += usize::from(has_run);
            record.line(format!("{what} {attempt} at {front}: {status}, run: {has_run}"));
        }
        run_count
    };
    let (held, none) = (send("key in force", Some(KEY)), send("no key", None));
    if held + none != 6 {
        record.say(format!("before the change {held} and {none} of 3 run"));
        finish(&record, &fleet.folder, 2);
    }
    fleet.publish(&anonymous_configuration(8, has_trouble()));
    sleep_ms(REVOCATION_MS + 1_500);
    let none = send("no key", None);
    let other = send("key that stays", Some(OTHER_KEY));
    let first = send("first key", Some(KEY));
    let unknown = match has_trouble() {
        true => send("key never held", Some("0000never0held00000")),
        false => 0,
    };
    record.say(format!(
        "of 3 each, run after the change: {none} without a key, {other} with a key that stays, {first} with \
         the first key, {unknown} with a key never held"
    ));
    if none + other != 6 {
        finish(&record, &fleet.folder, 2);
    }
    finish(&record, &fleet.folder, i32::from(has_trouble() && first + unknown > 0))
}
