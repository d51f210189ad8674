//! Services that an order leaves without capacity, and the layout of tables.

use control::{FleetStatus, NodeReport, ServiceReport};
use ctl::{CapacityExclusion, services_losing_capacity, text_table};
use units::{ConfigVersion, SlotCount};
use wire::TargetState;

fn agent_report(target: &str, service: &str, data_centre: &str, healthy: bool) -> NodeReport {
    NodeReport {
        name: format!("agent-{target}").as_str().into(),
        address: "127.0.0.1:1".into(),
        data_centre: data_centre.into(),
        leaving: false,
        config: ConfigVersion(1),
        lags_ms: None,
        target: Some(TargetState {
            target: target.into(),
            service: service.into(),
            limit: SlotCount(1),
            running: SlotCount(0),
            cold: false,
            healthy,
        }),
    }
}

fn fleet_status() -> FleetStatus {
    let service = |name: &str, depends_on: &[&str]| ServiceReport {
        name: name.into(),
        depends_on: depends_on.iter().map(|name| (*name).into()).collect(),
    };
    FleetStatus {
        node: "control-1".into(),
        leader: None,
        term: 1,
        commit: 1,
        confirmed_ms: None,
        version: ConfigVersion(1),
        out_data_centres: Default::default(),
        out_targets: Default::default(),
        calls: 0,
        controls: Vec::new(),
        data_centres: Vec::new(),
        services: vec![service("advice", &["records"]), service("records", &[])],
        quarantine: Vec::new(),
        missing: Vec::new(),
        nodes: vec![
            agent_report("a-1", "advice", "praha-1", true),
            agent_report("a-2", "advice", "brno-1", true),
            agent_report("r-1", "records", "praha-1", true),
            agent_report("r-2", "records", "brno-1", false),
        ],
    }
}

fn lost_names(status: &FleetStatus, exclusion: &CapacityExclusion) -> Vec<String> {
    let lost = services_losing_capacity(status, exclusion);
    lost.iter().map(ToString::to_string).collect()
}

/// Guards against an operator who is not warned that an order leaves a service without capacity,
/// because all its targets, or all those of a dependency, are in the data centre that is taken out.
#[test]
fn services_with_their_last_capacity_in_a_data_centre_are_found() {
    let status = fleet_status();

    let praha = lost_names(&status, &CapacityExclusion::DataCentre("praha-1".into()));
    let brno = lost_names(&status, &CapacityExclusion::DataCentre("brno-1".into()));

    assert_eq!(praha, ["advice", "records"]);
    assert!(brno.is_empty(), "{brno:?}");
}

/// Guards against targets that are already taken out but still count as capacity.
#[test]
fn targets_that_are_out_do_not_count() {
    let mut status = fleet_status();
    status.out_data_centres.insert("praha-1".into());
    status.nodes[3].target.as_mut().unwrap().healthy = true;

    let lost = lost_names(&status, &CapacityExclusion::Target("a-2".into()));

    assert_eq!(lost, ["advice"]);
}

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let rows = [vec!["agent-1".into(), "x".into()]];

    let table = text_table(&["NODE", "STATE"], &rows);

    assert_eq!(table, "NODE     STATE\nagent-1  x\n");
}
