//! Check of what targets announce about themselves.
//!
//! Anybody may call this interface. An entry that no sound target sends is left out: names without a
//! bound would exceed the frames in which control nodes and entries exchange the directory, and with
//! numbers at the end of their range no later announcement would be newer.

use units::{Incarnation, NodeName};
use wire::{DirectoryEntry, NodeKind};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 256;

/// Highest number, which is also the highest that all JSON libraries read exactly.
const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Maximum number of requests that a target may run at once.
const MAX_SLOTS: u32 = 1 << 20;

/// Longest time for which a target may stay cold, a day in milliseconds.
const MAX_COLD_MS: u64 = 24 * 60 * 60 * 1_000;

/// Maximum difference between the clocks of hosts, a day in milliseconds. The departure of a process
/// that starts later would bar the target for too long.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Returns why a departure cannot be that of a target, if it cannot.
pub(crate) fn check_departure(
    name: &NodeName,
    incarnation: Option<Incarnation>,
) -> Result<(), String> {
    check_length("name", name.as_str())?;
    let highest = Incarnation::starting_now().0 + MAX_CLOCK_DIFFERENCE_MS;
    match incarnation {
        Some(Incarnation(start)) if start > highest => Err(format!(
            "its start time {start} is above {highest}, a day from now"
        )),
        _ => Ok(()),
    }
}

fn check_length(field: &str, name: &str) -> Result<(), String> {
    let length = name.len();
    if length > MAX_NAME_BYTES {
        return Err(format!(
            "its {field} has {length} bytes, above {MAX_NAME_BYTES}"
        ));
    }
    Ok(())
}

/// Returns why an entry cannot be that of a target, if it cannot.
pub(crate) fn check_announcement(entry: &DirectoryEntry) -> Result<(), String> {
    let NodeKind::Target(target) = &entry.kind else {
        return Err("the entry is not that of a target".into());
    };
    let mut names = vec![
        ("name", entry.name.as_str()),
        ("data centre", entry.data_centre.as_str()),
        ("service", target.service.as_str()),
    ];
    names.extend(
        target
            .version
            .iter()
            .map(|version| ("version", version.as_str())),
    );
    for (field, name) in names {
        check_length(field, name)?;
    }
    if entry.name.as_str().is_empty() || target.service.as_str().is_empty() {
        return Err("it has no name or no service".into());
    }
    let (address, ip) = (entry.address, entry.address.ip());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(format!("its address {address} is not that of a process"));
    }
    let numbers = [
        ("start time", entry.incarnation.0, MAX_NUMBER),
        ("sequence number", target.sequence, MAX_NUMBER),
        ("number of slots", target.slots.0.into(), MAX_SLOTS.into()),
        ("cold time", target.cold_ms, MAX_COLD_MS),
    ];
    for (field, number, highest) in numbers {
        if number > highest {
            return Err(format!("its {field} {number} is above {highest}"));
        }
    }
    Ok(())
}
