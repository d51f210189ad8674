//! FAILBACK: a worker becomes cold again while it is cold.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::Fleet;
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::{Arrivals, Work, Worker};

/// `coldPerS` of the service.
const COLD_PER_S: f64 = 20.0;

/// Requests in one second above which the rule is broken: `coldBurstFactor` is 1.5, `coldSlack` 5.
const MAX_PER_S: usize = 35;

/// `coldStartS` of the service, in milliseconds.
const COLD_MS: u64 = 3_000;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 16;

/// Time from the moment at which the worker is cold again to the first second that is judged: an
/// announcement interval, and a second for the machines to hear of it.
const NOTICE_S: f64 = 2.2;

/// Requests in one second at which the cold worker crashes, four times what it tolerates.
const CRASH_PER_S: usize = 80;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 0)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, COLD_PER_S))?;
    let arrivals = arrivals();
    let plain = |number: u8| {
        let mut lifetime = lifetime(&fleet, number, PLAIN, "v1", Work::Plain(40));
        lifetime.slots = 12;
        lifetime
    };
    start_worker(&fleet, record, &arrivals, plain(1))?;
    fleet.wait_ready(record)?;
    sleep_ms(4_000);

    let is_over = Arc::new(AtomicBool::new(false));
    let answered: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fleet.machines[number % fleet.machines.len()].front();
            let (is_over, answered) = (is_over.clone(), answered.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let more = "X-Remaining-Milliseconds: 3000\r\nConnection: close\r\n";
                    let text = request("POST", "/once/2f", &attempt_id(), TENANTS[0].1, more);
                    let status = send(front, &text, Duration::from_secs(3))
                        .and_then(|mut reader| {
                            let head = read_head(&mut reader)?.unwrap_or_default();
                            read_body(&mut reader, &head)?;
                            Ok(head.status())
                        })
                        .unwrap_or(0);
                    *answered.lock().unwrap().entry(status).or_default() += 1;
                    sleep_ms(40);
                }
            })
        })
        .collect();
    sleep_ms(1_000);

    // A worker starts during traffic, so it is cold.
    let worker = Worker::start(plain(2), record, &arrivals)?;
    worker.cool(Duration::from_millis(COLD_MS));
    worker.keep_announcing(fleet.controls(), || true);
    let cold_s = COLD_MS as f64 / 1000.0;
    let mut judged_from = record.now();
    let mut cold_until = judged_from + cold_s;
    if has_trouble {
        // It becomes cold again shortly before it would have been warm, and once more.
        sleep_ms(COLD_MS - 200);
        worker.cool(Duration::from_millis(COLD_MS));
        judged_from = record.now() + NOTICE_S;
        sleep_ms(COLD_MS - 200);
        worker.cool(Duration::from_millis(COLD_MS));
        cold_until = record.now() + cold_s;
    }
    let crashed_at = watch(record, &worker, &arrivals, judged_from, cold_until);
    sleep_ms(1_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let end = crashed_at.unwrap_or(cold_until);
    let arrivals = arrivals.lock().unwrap();
    let mut times: Vec<f64> = arrivals
        .iter()
        .filter(|arrival| arrival.worker == worker.lifetime.id && arrival.at <= end)
        .map(|arrival| arrival.at)
        .collect();
    times.sort_by(f64::total_cmp);
    let mut most = (0, 0.0);
    for (index, start) in times.iter().enumerate() {
        if *start < judged_from {
            continue;
        }
        let count = times[index..]
            .iter()
            .take_while(|at| **at < start + 1.0)
            .count();
        if count > most.0 {
            most = (count, *start);
        }
    }
    let first = times.first().copied().unwrap_or_default();
    for second in 0..((end - first).ceil() as usize) {
        let (from, to) = (first + second as f64, first + second as f64 + 1.0);
        let count = times.iter().filter(|at| **at >= from && **at < to).count();
        record.note_at(
            from,
            &format!("the cold worker gets {count} requests in the next second"),
        );
    }
    let answered = answered.lock().unwrap();
    record.note(&format!(
        "at most {} requests in one second (from {:.3}) between {judged_from:.3} and {end:.3}, while \
         the worker was cold and had said so; answers by status {answered:?}",
        most.0, most.1
    ));
    if times.len() < 10 {
        return Err("the cold worker got too few requests".into());
    }
    Ok(most.0 <= MAX_PER_S)
}

/// Waits until the worker is warm. Ends it if it gets far more requests than it tolerates although
/// it has said that it is cold; returns when.
fn watch(
    record: &Record,
    worker: &Worker,
    arrivals: &Arrivals,
    judged_from: f64,
    cold_until: f64,
) -> Option<f64> {
    while record.now() < cold_until {
        let now = record.now();
        let arrivals = arrivals.lock().unwrap();
        let recent = arrivals
            .iter()
            .rev()
            .take_while(|arrival| arrival.at > now - 1.0);
        let recent = recent.filter(|arrival| arrival.worker == worker.lifetime.id);
        let count = recent.filter(|arrival| arrival.at > judged_from).count();
        drop(arrivals);
        if count >= CRASH_PER_S {
            record.note(&format!(
                "the cold worker crashes, after {count} requests in a second"
            ));
            worker.crash();
            return Some(now);
        }
        sleep_ms(2);
    }
    None
}
