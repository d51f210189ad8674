//! Experiment.
use std::io::Read;
use std::io::Write;
use std::time::Duration;
use super::{PLAIN, TENANTS, arrivals, configuration, lifetime, request, sleep_ms, start_worker};
use crate::fleet::Fleet;
use crate::http::{attempt_id, read_body, read_head, send};
use crate::record::Record;
use crate::worker::Work;

pub fn run(record: &Record, _t: bool) -> Result<bool, String> {
    let fleet = Fleet::start(record, 0)?;
    fleet.publisher().publish(record, &configuration(1, &TENANTS, 0.0))?;
    let arrivals = arrivals();
    start_worker(&fleet, record, &arrivals, lifetime(&fleet, 2, PLAIN, "v1", Work::Plain(20)))?;
    fleet.wait_ready(record)?;
    sleep_ms(3_000);
    let front = fleet.machines[0].front();
    let text = request("POST", "/once/2f", &attempt_id(), TENANTS[0].1, "X-Remaining-Milliseconds: 3000\r\n");
    let mut r = send(front, &text, Duration::from_secs(90)).unwrap();
    let h = read_head(&mut r).unwrap().unwrap_or_default(); read_body(&mut r, &h).unwrap();
    record.note(&format!("{h:?}"));
    let mut half = std::net::TcpStream::connect(front).unwrap();
    half.write_all(b"POST /once/2f HTTP/1.1\r\nHost: x\r\n").unwrap();
    half.set_read_timeout(Some(Duration::from_secs(95))).unwrap();
    let rec = record.clone();
    let t = std::thread::spawn(move || { let mut b=[0u8;100]; let n = half.read(&mut b); rec.note(&format!("half head: {n:?} {}", String::from_utf8_lossy(&b))); });
    let mut never = std::net::TcpStream::connect(front).unwrap();
    never.set_read_timeout(Some(Duration::from_secs(95))).unwrap();
    let rec = record.clone();
    let t2 = std::thread::spawn(move || { let mut b=[0u8;100]; let n = never.read(&mut b); rec.note(&format!("silent: {n:?}")); });
    let mut b = [0u8; 10];
    let n = r.get_mut().read(&mut b);
    record.note(&format!("idle: {n:?}"));
    t.join().unwrap(); t2.join().unwrap();
    Ok(true)
}
