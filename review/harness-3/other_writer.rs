//! CONFIG: pings of another writer take the workers of a route away that was added later.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::CaseResult;
use crate::fleet::{
    CONFIGURATION_APPLY, Fleet, HOST, KEY, ZONES, Record, configuration,
    configuration_with_second_route,
};
use crate::http;
use crate::worker::{Worker, unix_ms};

/// Time over which the requests of both routes are counted.
const COUNTED: Duration = Duration::from_secs(40);

/// Interval between two requests of a route.
const INTERVAL: Duration = Duration::from_millis(200);

/// Requests of a route, and those of them that were served.
#[derive(Debug, Default, Clone, Copy)]
struct RouteCount {
    sent: u32,
    served: u32,
}

fn send(fleet: &Fleet, machine: usize, path: &str, id: &str) -> u16 {
    let headers = [
        ("Host", HOST.to_string()),
        ("Authorization", format!("Token {KEY}")),
        ("X-Attempt-Id", id.to_string()),
        ("X-Remaining-Milliseconds", "2000".to_string()),
    ];
    let request = http::request_bytes("GET", path, &headers, "");
    let result = http::call(fleet.front(machine), &request, Duration::from_secs(2));
    result.map_or(0, |(head, _)| head.status())
}

pub fn run(record: &'static Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::create(record);
    fleet.start_all();
    let first = configuration(4, "idempotent", false);
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &first)?;
    let controls: Vec<SocketAddr> = (0..3).map(|machine| fleet.control(machine)).collect();
    for number in 0..3 {
        let (zone, ip) = (ZONES[number], &fleet.machines[number].ip);
        let (id, other) = (format!("i-{number}"), format!("j-{number}"));
        Worker::start_plain(record, &id, zone, ip, controls.clone(), 100);
        Worker::start_of(record, &other, zone, ip, controls.clone(), "wuno96b");
    }
    fleet.wait_until_ready(&[0, 1, 2])?;
    let second = configuration_with_second_route(7);
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &second)?;
    sleep(Duration::from_secs(3));
    if has_trouble {
        for number in 0..3 {
            let body = format!(
                "{{\"service\":\"pozo71c\",\"address\":\"127.0.0.1:9\",\"zone\":\"{}\",\
                 \"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\
                 \"coldRemainingMs\":0,\"sequence\":1,\"born\":{}}}",
                ZONES[number],
                unix_ms()
            );
            let path = format!("/-/instances/j-{number}");
            fleet.try_order(number, "PUT", &path, &body);
        }
    }
    sleep(CONFIGURATION_APPLY);
    let started_at = Instant::now();
    let mut counts = [RouteCount::default(); 2];
    let mut last = [0; 2];
    while started_at.elapsed() < COUNTED {
        for (route, path) in ["/lohu930/2f", "/puxa403/2f"].into_iter().enumerate() {
            let count = &mut counts[route];
            let machine = (count.sent % 3) as usize;
            let status = send(&fleet, machine, path, &format!("q{route}-{}", count.sent));
            count.sent += 1;
            count.served += u32::from(status == 200);
            if status != last[route] {
                last[route] = status;
                record.line(&format!("{path}: now answered with {status}"));
            }
        }
        sleep(INTERVAL);
    }
    record.line(&format!("first route: {:?}, route added later: {:?}", counts[0], counts[1]));
    let [first, later] = counts;
    // Served less than a quarter as often.
    let is_broken = later.sent >= 20 && 4 * later.served * first.sent < first.served * later.sent;
    Ok(!is_broken)
}
