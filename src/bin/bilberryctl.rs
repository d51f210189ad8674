//! Command-line tool for operators.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use ctl::ExitStatus;

/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

#[tokio::main]
async fn main() -> ExitCode {
    let options = match ctl::options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return match failure {
                ParseFailure::Stderr(_) => (ExitStatus::Usage as u8).into(),
                _ => ExitCode::SUCCESS,
            };
        }
    };
    let report = ctl::run(options).await;
    print!("{}", report.output);
    eprint!("{}", report.errors);
    (report.status as u8).into()
}
