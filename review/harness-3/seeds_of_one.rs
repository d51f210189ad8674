//! CONFIG: the core loses power, and the machine that is back first has lost its disk.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::CaseResult;
use crate::fleet::{CONFIGURATION_APPLY, Fleet, RECOVERY, Record, configuration};

/// Machine that is back first.
const FIRST: usize = 1;

/// Time for which the other machines are without power longer than the operator's list lags.
const OUTAGE: Duration = Duration::from_secs(4);

pub fn run(record: &'static Record, has_trouble: bool) -> CaseResult {
    let mut fleet = Fleet::create(record);
    fleet.start_all();
    let old = configuration(4, "idempotent", false);
    fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &old)?;
    fleet.wait_until_ready(&[0, 1, 2])?;
    sleep(Duration::from_secs(3));
    for machine in 0..3 {
        fleet.machines[machine].end();
    }
    record.line("all machines of the core lose power");
    sleep(OUTAGE);
    if has_trouble {
        fleet.replace_disk(FIRST);
    }
    // No other machine serves control, and the list lags by less than the outage.
    fleet.start(FIRST, &[FIRST], false);
    let new = configuration(7, "idempotent", false);
    let mut is_acknowledged = false;
    for _ in 0..3 {
        sleep(Duration::from_millis(700));
        is_acknowledged |= fleet.try_order(FIRST, "PUT", "/-/configuration", &new) == 200;
        if is_acknowledged {
            break;
        }
    }
    fleet.start(0, &[0, 1, 2], false);
    fleet.start(2, &[0, 1, 2], false);
    let back_at = Instant::now();
    if !is_acknowledged {
        fleet.order(&[0, 1, 2], "PUT", "/-/configuration", &new)?;
    }
    let acknowledged_at = Instant::now();
    sleep((back_at + RECOVERY).saturating_duration_since(Instant::now()));
    sleep((acknowledged_at + CONFIGURATION_APPLY).saturating_duration_since(Instant::now()));
    let mut older = 0;
    for _ in 0..10 {
        sleep(Duration::from_millis(400));
        for machine in 0..3 {
            let read = fleet.read_version(machine);
            let age = acknowledged_at.elapsed().as_secs_f64();
            let name = &fleet.machines[machine].name;
            record.line(&format!("{name} reads back {read:?}, {age:.1} s after 7 was confirmed"));
            older += u32::from(read.is_some_and(|read| read < 7));
        }
    }
    record.line(&format!("{older} answers with an older version"));
    Ok(older == 0)
}
