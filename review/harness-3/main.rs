//! Stand-ins and checks of the scripted cases of the third review: the platform (starts and signals
//! the processes), the operator, workers and clients. Uses the standard library only.

mod fleet;
mod http;
mod worker;

mod body_read_late;
mod other_writer;
mod seeds_of_one;
mod slow_readers;
mod version_restart;

use std::process::exit;

/// Result of a case: whether the rule held.
pub type CaseResult = Result<bool, String>;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, folder) = match (args.next(), args.next()) {
        (Some(case), Some(folder)) => (case, folder),
        _ => {
            eprintln!("usage: harness CASE FOLDER");
            exit(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = fleet::Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let result = match case.as_str() {
        "version-restart" => version_restart::run_joined(record, has_trouble),
        "streams-refused" => version_restart::run_refused(record, has_trouble),
        "body-read-late" => body_read_late::run(record, has_trouble),
        "slow-readers" => slow_readers::run(record, has_trouble),
        "other-writer" => other_writer::run(record, has_trouble),
        "seeds-of-one" => seeds_of_one::run(record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match result {
        Ok(true) => {
            record.line("the rule held");
            0
        }
        Ok(false) => {
            record.line("the rule was broken");
            1
        }
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            2
        }
    };
    exit(code);
}
