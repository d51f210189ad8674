//! Test programs of the review: one command for each case.
//!
//! Each case starts the project's processes with the commands of the deploy file, plays the clients,
//! the workers and the operator, and checks one rule from what these see.

mod cases;
mod fleet;
mod http;
mod record;
mod worker;

use std::process::exit;
use std::time::Duration;

use record::Record;

/// Time after which a case that has not ended is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: harness CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.note(&format!(
        "case {case}, disruption {}",
        if has_trouble { "on" } else { "off" }
    ));
    let path = std::path::PathBuf::from(path);
    let (watched_record, watched_path) = (record.clone(), path.clone());
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        watched_record.note("the case did not end in time");
        fleet::kill_all();
        let _ = watched_record.write(&watched_path);
        exit(2);
    });
    let running = record.clone();
    let result = std::thread::spawn(move || cases::run(&case, &running, has_trouble)).join();
    fleet::kill_all();
    let code = match result {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            record.note(&format!("the case could not run: {reason}"));
            2
        }
        Err(_) => {
            record.note("the case could not run: a thread panicked");
            2
        }
    };
    let verdict = ["the rule held", "the rule was broken", "not run"][code];
    record.note(&format!("result: {verdict}"));
    if let Err(error) = record.write(&path) {
        eprintln!("Failed to write the record: {error}");
        exit(2);
    }
    println!("{verdict}");
    exit(code as i32);
}
