//! The cases.

mod cold;
mod departure;
mod history;
mod keys;
mod memory;
mod tenant;
mod versions;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::fleet::Fleet;
use crate::http::unix_millis;
use crate::record::Record;
use crate::worker::{Arrivals, Lifetime, Work, Worker};

/// Runs a case, and returns whether the rule held.
pub fn run(case: &str, record: &Record, has_trouble: bool) -> Result<bool, String> {
    match case {
        "cold" => cold::run(record, has_trouble),
        "departure" => departure::run(record, has_trouble),
        "memory" => memory::run(record, has_trouble),
        "history" => history::run(record, has_trouble),
        "keys" => keys::run(record, has_trouble),
        "tenant" => tenant::run(record, has_trouble),
        "versions" => versions::run(record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Host of all routes.
const HOST: &str = "ficu95.example";

/// Model service with streams that may be resumed.
const MODEL: &str = "huvo11a";

/// Plain service.
const PLAIN: &str = "wuno96b";

/// Tenants and their keys.
const TENANTS: [(&str, &str); 2] = [
    ("hule930", "asnmgkcuyj8pjbvk9m68"),
    ("hule931", "k7b2ex5wa5xwyhks8nbk"),
];

/// Configuration with the routes `/stream/`, `/once/` and `/read/`, and these keys.
fn configuration(version: u32, keys: &[(&str, &str)], cold_per_s: f64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\
             \"kind\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":300,\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"allowAnonymous\":false,\
             \"allowedRegions\":[],{more}}}"
        )
    };
    let stream = "\"sessionAffinity\":true,\"resumable\":true,\"targetGapMs\":150";
    let plain = "\"sessionAffinity\":false,\"resumable\":false";
    let routes = [
        route("stream", "streaming", MODEL, 15_000, 2, stream),
        route("once", "non_idempotent", PLAIN, 3_000, 1, plain),
        route("read", "idempotent", PLAIN, 3_000, 2, plain),
    ];
    let tenants: Vec<String> = TENANTS
        .iter()
        .map(|(name, _)| {
            let held = keys.iter().filter(|(holder, _)| holder == name);
            let held: Vec<String> = held.map(|(_, key)| format!("\"{key}\"")).collect();
            format!(
                "{{\"name\":\"{name}\",\"apiKeys\":[{}],\"priority\":1,\"allowedRegions\":[]}}",
                held.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{MODEL}\",\"healthCheckPath\":\"/health\",\"connectionLimit\":310,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":20.0,\
         \"engine\":{{\"slots\":48,\"kvCacheTokens\":310801,\"stride\":4,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{PLAIN}\",\"healthCheckPath\":\"/health\",\"connectionLimit\":110,\
         \"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":{cold_per_s:.1}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":530000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

/// Lifetime of a worker that starts now.
fn lifetime(fleet: &Fleet, number: u8, service: &str, version: &str, work: Work) -> Lifetime {
    Lifetime {
        id: format!("i-7f3a91c{number}"),
        service: service.into(),
        zone: crate::fleet::ZONES[usize::from(number) % 3].0.into(),
        version: version.into(),
        address: fleet.worker_address(number),
        slots: if service == MODEL { 48 } else { 6 },
        work,
        born: unix_millis(),
    }
}

/// Starts a worker that announces itself.
fn start_worker(
    fleet: &Fleet,
    record: &Record,
    arrivals: &Arrivals,
    lifetime: Lifetime,
) -> Result<Worker, String> {
    let worker = Worker::start(lifetime, record, arrivals)?;
    worker.keep_announcing(fleet.controls(), || true);
    Ok(worker)
}

fn arrivals() -> Arrivals {
    Arc::new(Mutex::new(Vec::new()))
}

fn sleep_ms(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Text of a request without a body.
fn request(method: &str, path: &str, attempt: &str, key: &str, more: &str) -> String {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         Authorization: Token {key}\r\n{more}{length}\r\n"
    )
}
