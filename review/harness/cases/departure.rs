//! DRAIN: a worker whose announcements are late says that it is gone.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms};
use crate::fleet::Fleet;
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::{BEAT_INTERVAL, Work, Worker};

/// `drainTimeoutMs` of the deployment, in seconds.
const DRAIN_S: f64 = 2.5;

/// Time for which the worker serves on after it has said that it is gone, in milliseconds.
const SERVES_MS: u64 = 4_500;

/// Number of announcements that are late, by 1.7 to 5.3 s.
const LATE_BEATS: usize = 4;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 6;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 0)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    let controls = fleet.controls();
    let start = |number: u8| {
        let mut lifetime = lifetime(&fleet, number, PLAIN, "v1", Work::Plain(150));
        lifetime.slots = 6;
        Worker::start(lifetime, record, &arrivals)
    };
    let staying = start(2)?;
    staying.keep_announcing(controls.clone(), || true);
    let leaving = start(1)?;
    let is_prompt = Arc::new(AtomicBool::new(true));
    let may_send = is_prompt.clone();
    leaving.keep_announcing(controls.clone(), move || may_send.load(Ordering::SeqCst));
    fleet.wait_ready(record)?;
    sleep_ms(4_000);

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<std::collections::BTreeMap<String, (f64, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = fleet.machines[number % fleet.machines.len()].front();
            let (record, is_over, sent) = (record.clone(), is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let attempt = attempt_id();
                    let at = record.now();
                    let more = "X-Remaining-Milliseconds: 3000\r\nConnection: close\r\n";
                    let text = request("POST", "/once/2f", &attempt, TENANTS[0].1, more);
                    let status = send(front, &text, Duration::from_secs(3))
                        .and_then(|mut reader| {
                            let head = read_head(&mut reader)?.unwrap_or_default();
                            read_body(&mut reader, &head)?;
                            Ok(head.status())
                        })
                        .unwrap_or(0);
                    sent.lock().unwrap().insert(attempt, (at, status));
                    sleep_ms(20);
                }
            })
        })
        .collect();
    sleep_ms(2_000);

    // Its next announcements are under way for seconds, to whichever node it sends them.
    let mut late = Vec::new();
    if has_trouble {
        is_prompt.store(false, Ordering::SeqCst);
        std::thread::sleep(BEAT_INTERVAL);
        for _ in 0..LATE_BEATS {
            late.push(leaving.next_beat("ready"));
            record.note("worker i-7f3a91c1: sends an announcement that is late");
            std::thread::sleep(BEAT_INTERVAL);
        }
    }
    if !leaving.depart(&controls[..1]) {
        return Err("no control node acknowledged that the worker is gone".into());
    }
    is_prompt.store(false, Ordering::SeqCst);
    let gone_at = record.now();
    sleep_ms(500);
    for beat in &late {
        leaving.send_beat(&controls[1..2], beat);
    }
    sleep_ms(SERVES_MS - 500);
    leaving.crash();
    sleep_ms(1_000);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let (arrivals, sent) = (arrivals.lock().unwrap(), sent.lock().unwrap());
    let at_leaving = || {
        let arrivals = arrivals.iter();
        arrivals.filter(|arrival| arrival.worker == leaving.lifetime.id)
    };
    let before = at_leaving().filter(|arrival| arrival.at < gone_at).count();
    let late: Vec<_> = at_leaving()
        .filter(|arrival| arrival.at > gone_at + DRAIN_S)
        .collect();
    let mut lost = 0;
    for arrival in &late {
        let (_, status) = sent.get(arrival.attempt()).copied().unwrap_or_default();
        lost += usize::from(status != 200);
        record.note_at(
            arrival.at,
            &format!(
                "worker {}: runs {}, {:.3} s after the acknowledgement; the client got {status}",
                arrival.worker,
                arrival.attempt(),
                arrival.at - gone_at
            ),
        );
    }
    record.note(&format!(
        "{before} requests reached the worker before it left, {} more than {DRAIN_S} s after the \
         acknowledgement, {lost} of these were lost when it ended",
        late.len()
    ));
    if before == 0 {
        return Err("the worker got no request before it left".into());
    }
    Ok(late.is_empty())
}
