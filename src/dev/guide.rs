//! Example commands for a development fleet.

use manifest::ServiceKind;

use super::DevFleet;

/// Prints `curl` commands for a chat completion, a read and a booking, and commands that generate
/// load and show the state of the fleet.
///
/// The key of `organisation` must be `example-key-NAME`, as in the example services texts.
/// `profile` is the path of the load profile.
pub fn print_guide(fleet: &DevFleet, organisation: &str, profile: &str) {
    let http = fleet.entries[0].http();
    let key = format!("example-key-{organisation}");
    let services = &fleet.manifest.services;
    let model = services
        .iter()
        .find(|(_, spec)| spec.kind == ServiceKind::Model);
    let records = services
        .iter()
        .find(|(_, spec)| spec.kind == ServiceKind::Plain && spec.calls.is_empty());
    let bookings = services.iter().find(|(_, spec)| !spec.calls.is_empty());
    if let Some((name, _)) = model {
        println!("# a streamed chat completion");
        println!("curl -N http://{http}/v1/chat/completions -H 'Authorization: Bearer {key}' \\");
        println!("  -H 'Content-Type: application/json' \\");
        println!(
            "  -d '{{\"model\": \"{name}\", \"stream\": true, \"max_tokens\": 32, \
             \"messages\": [{{\"role\": \"user\", \"content\": \"My runner stone is worn.\"}}]}}'"
        );
    }
    if let Some((name, _)) = records {
        println!("# a read of a record");
        println!(
            "curl http://{http}/services/{name}/records/stone/7 -H 'Authorization: Bearer {key}'"
        );
    }
    if let Some((name, _)) = bookings {
        println!("# a booking, which runs only once even if it is sent again");
        println!("curl http://{http}/services/{name}/orders -H 'Authorization: Bearer {key}' \\");
        println!("  -H 'Content-Type: application/json' -H 'Idempotency-Key: visit-1' \\");
        println!("  -d '{{\"id\": \"visit-1\"}}'");
    }
    print_load_command(fleet, profile);
    print_status_command(fleet);
}

fn print_load_command(fleet: &DevFleet, profile: &str) {
    println!("# load; its report shows latencies, the fairness gap, and lost or duplicate answers");
    print!("cargo run --release --bin bilberry-load -- --profile {profile}");
    for entry in &fleet.entries {
        print!(" --entry {}", entry.http());
    }
    for target in &fleet.targets {
        let flag = match target.kind {
            ServiceKind::Model => "--engine",
            ServiceKind::Plain => "--service",
        };
        print!(" {flag} {}", target.standin.address());
    }
    println!();
}

fn print_status_command(fleet: &DevFleet) {
    let controls: Vec<String> = fleet
        .controls
        .iter()
        .map(|control| control.address().to_string())
        .collect();
    println!("# state of the fleet; `dc out NAME` instead of `status` takes a data centre out");
    println!(
        "cargo run --release --bin bilberryctl -- --controls {} --keys {} --operator dev status",
        controls.join(","),
        fleet.keys().display()
    );
}
