//! UNASKED: a client names headers of the system in its `Connection` header.

use std::time::Duration;

use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::Fleet;
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::Work;

/// Number of requests.
const REQUESTS: usize = 20;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 0)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    for number in 1..=3 {
        let lifetime = lifetime(&fleet, number, PLAIN, "v1", Work::Plain(10));
        start_worker(&fleet, record, &arrivals, lifetime)?;
    }
    fleet.wait_ready(record)?;
    sleep_ms(4_000);
    let mut answered = 0;
    for number in 0..REQUESTS {
        let (tenant, key) = TENANTS[number % TENANTS.len()];
        let front = fleet.machines[number % fleet.machines.len()].front();
        let attempt = attempt_id();
        let connection = match has_trouble {
            true => "Connection: close, X-Tenant, X-Expected-Instance\r\n",
            false => "Connection: close\r\n",
        };
        let more = format!("X-Remaining-Milliseconds: 3000\r\n{connection}");
        let text = request("POST", "/once/2f", &attempt, key, &more);
        record.note(&format!(
            "client: POST {attempt} with the key of {tenant} to {front}, {}",
            connection.trim_end()
        ));
        let mut reader =
            send(front, &text, Duration::from_secs(3)).map_err(|error| error.to_string())?;
        let head = read_head(&mut reader).map_err(|error| error.to_string())?;
        let head = head.unwrap_or_default();
        let _ = read_body(&mut reader, &head);
        answered += usize::from(head.status() == 200);
        record.note(&format!("client: {attempt}: status {}", head.status()));
        let arrivals = arrivals.lock().unwrap();
        for arrival in arrivals
            .iter()
            .filter(|arrival| arrival.attempt() == attempt)
        {
            record.note_at(
                arrival.at,
                &format!(
                    "worker {}: runs {attempt}, X-Tenant {:?}, X-Expected-Instance {:?}",
                    arrival.worker,
                    arrival.head.get("x-tenant"),
                    arrival.head.get("x-expected-instance")
                ),
            );
        }
    }
    let arrivals = arrivals.lock().unwrap();
    let holder = |number: usize| TENANTS[number % TENANTS.len()].0;
    let wrong = arrivals.iter().enumerate();
    let wrong = wrong
        .filter(|(number, arrival)| arrival.head.get("x-tenant") != Some(holder(*number)))
        .count();
    record.note(&format!(
        "{} requests ran, {answered} were answered 200, {wrong} ran without the tenant that holds \
         the key",
        arrivals.len()
    ));
    if arrivals.len() != REQUESTS {
        return Err("not every request ran once".into());
    }
    Ok(wrong == 0)
}
