//! CONFIG: a key is taken away while a machine is frozen, and the machine wakes.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::{Fleet, SIGCONT, SIGSTOP, signal};
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::Work;

/// Time for which the machine is frozen, in milliseconds.
const FREEZE_MS: u64 = 6_000;

/// `revocationMs` of the deployment, in seconds.
const REVOCATION_S: f64 = 5.0;

/// Number of clients that repeat their requests with the key at once.
const CLIENTS: usize = 200;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 1)?;
    fleet
        .publisher()
        .publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    for number in 1..=3 {
        let mut lifetime = lifetime(&fleet, number, PLAIN, "v1", Work::Plain(10));
        lifetime.slots = 48;
        start_worker(&fleet, record, &arrivals, lifetime)?;
    }
    fleet.wait_ready(record)?;
    sleep_ms(4_000);

    let machine = &fleet.machines[3];
    let key = TENANTS[1].1;
    let front = machine.front();
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let answered: Arc<Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let (asleep, awake) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over) = (record.clone(), is_over.clone());
            let (asleep, awake) = (asleep.clone(), awake.clone());
            let (sent, answered, count) = (sent.clone(), answered.clone(), count.clone());
            std::thread::spawn(move || {
                let mut kept = None;
                sleep_ms(5 * number as u64);
                let mut call = |has_more: bool| {
                    let attempt = attempt_id();
                    let more = "X-Remaining-Milliseconds: 3000\r\n";
                    let text = request("POST", "/once/2f", &attempt, key, more);
                    let at = record.now();
                    let status = exchange(&mut kept, front, &text).unwrap_or(0);
                    if !has_more {
                        kept = None;
                    }
                    count.fetch_add(1, Ordering::Relaxed);
                    *answered.lock().unwrap().entry(status).or_default() += 1;
                    sent.lock().unwrap().push((attempt, at));
                };
                call(true);
                while !asleep.load(Ordering::SeqCst) {
                    sleep_ms(10);
                }
                sleep_ms(FREEZE_MS - 800 + 7 * number as u64 % 700);
                while !is_over.load(Ordering::SeqCst) {
                    call(true);
                    if !awake.load(Ordering::SeqCst) {
                        sleep_ms(20);
                    }
                }
            })
        })
        .collect();
    sleep_ms(2_500);
    if has_trouble {
        record.note(&format!("{} freezes", machine.name));
        machine.pids.iter().for_each(|pid| signal(*pid, SIGSTOP));
    }
    sleep_ms(100);
    let confirmed = fleet
        .publisher()
        .publish(record, &configuration(2, &TENANTS[..1], 0.0))?;
    record.note(&format!("the key of {} is taken away", TENANTS[1].0));
    asleep.store(true, Ordering::SeqCst);
    sleep_ms(FREEZE_MS);
    awake.store(true, Ordering::SeqCst);
    if has_trouble {
        record.note(&format!("{} wakes", machine.name));
        machine.pids.iter().for_each(|pid| signal(*pid, SIGCONT));
    }
    sleep_ms(1_500);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    sleep_ms(300);
    let sent = sent.lock().unwrap();
    let times: std::collections::HashMap<&str, f64> =
        sent.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let arrivals = arrivals.lock().unwrap();
    let mut late = 0;
    let mut before = 0;
    for arrival in arrivals.iter() {
        let Some(at) = times.get(arrival.attempt()) else {
            continue;
        };
        if *at <= confirmed {
            before += 1;
        }
        if *at > confirmed + REVOCATION_S {
            late += 1;
            record.note_at(
                arrival.at,
                &format!(
                    "worker {}: runs {}, sent {:.3} s after the confirmation, X-Tenant {}",
                    arrival.worker,
                    arrival.attempt(),
                    at - confirmed,
                    arrival.head.get("x-tenant").unwrap_or("none")
                ),
            );
        }
    }
    record.note(&format!(
        "clients: {} requests with the key, answers by status {:?}",
        count.load(Ordering::Relaxed),
        answered.lock().unwrap()
    ));
    record.note(&format!(
        "{before} ran that were sent before the confirmation, {late} that were sent more than \
         {REVOCATION_S} s after it"
    ));
    if before == 0 {
        return Err("no request with the key was served at first".into());
    }
    Ok(late == 0)
}

/// Sends a request on the kept channel, or on a new one, and returns the status of the answer.
fn exchange(
    kept: &mut Option<BufReader<TcpStream>>,
    front: SocketAddr,
    text: &str,
) -> io::Result<u16> {
    let mut reader = match kept.take() {
        Some(mut reader) => {
            reader.get_mut().write_all(text.as_bytes())?;
            reader
        }
        None => send(front, text, Duration::from_secs(3))?,
    };
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    let closes = head
        .get("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("close"));
    *kept = (!closes).then_some(reader);
    Ok(head.status())
}
