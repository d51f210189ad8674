//! Announcements of targets that no sound target sends.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use common::{TargetStep, TestFleet, TestTarget, ok_response, plan};
use rstest::rstest;
use units::{Incarnation, SlotCount};
use wire::{AnnouncedTarget, DirectoryEntry, NodeKind};

/// Length of a name that exceeds what control nodes and entries send each other at once.
const LONG_NAME_BYTES: usize = 2 << 20;

fn long_name() -> String {
    "x".repeat(LONG_NAME_BYTES)
}

fn announced(entry: &mut DirectoryEntry) -> &mut AnnouncedTarget {
    match &mut entry.kind {
        NodeKind::Target(target) => target,
        _ => unreachable!("the entry is that of a target"),
    }
}

async fn start_sound_target(name: &str) -> TestTarget {
    let script = Arc::new(|head: &str| TargetStep::Write(ok_response(head, "done")));
    TestTarget::start(name, script).await
}

/// Guards against entries and control nodes that stop following the targets, or take no further
/// orders, because another writer has announced a target that cannot be one.
#[rstest]
#[case::long_name(|entry: &mut DirectoryEntry| entry.name = long_name().as_str().into())]
#[case::long_service(|entry: &mut DirectoryEntry| announced(entry).service = long_name().as_str().into())]
#[case::long_version(|entry: &mut DirectoryEntry| announced(entry).version = Some(long_name().as_str().into()))]
#[case::long_data_centre(|entry: &mut DirectoryEntry| entry.data_centre = long_name().as_str().into())]
#[case::empty_name(|entry: &mut DirectoryEntry| entry.name = "".into())]
#[case::no_port(|entry: &mut DirectoryEntry| entry.address.set_port(0))]
#[case::any_address(|entry: &mut DirectoryEntry| entry.address.set_ip(Ipv4Addr::UNSPECIFIED.into()))]
#[case::multicast_address(|entry: &mut DirectoryEntry| entry.address.set_ip(Ipv4Addr::new(224, 0, 0, 1).into()))]
#[case::late_sequence(|entry: &mut DirectoryEntry| announced(entry).sequence = u64::MAX)]
#[case::late_start(|entry: &mut DirectoryEntry| entry.incarnation = Incarnation(u64::MAX))]
#[case::many_slots(|entry: &mut DirectoryEntry| announced(entry).slots = SlotCount(u32::MAX))]
#[case::long_cold_period(|entry: &mut DirectoryEntry| announced(entry).cold_ms = u64::MAX)]
#[tokio::test(flavor = "multi_thread")]
async fn odd_announcement_is_left_out(#[case] change: fn(&mut DirectoryEntry)) {
    let first = start_sound_target("target-1").await;
    let fleet = TestFleet::start(Some(plan()), &[&first]).await;
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let mut odd = TestTarget::at("target-odd", address).announcement();
    change(&mut odd);

    fleet.api.announce(odd).await.unwrap_err();

    let second = start_sound_target("target-2").await;
    fleet.api.announce(second.announcement()).await.unwrap();
    common::wait_until(|| fleet.relay.target_count() == 2).await;
    fleet.publish(2, plan()).await;
    let response = fleet.request("/again/x", "r1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// Guards against an odd announcement under the name of a sound target, after which none of the
/// sound target's announcements is believed.
#[rstest]
#[case::late_sequence(|entry: &mut DirectoryEntry| announced(entry).sequence = u64::MAX)]
#[case::late_start(|entry: &mut DirectoryEntry| entry.incarnation = Incarnation(u64::MAX))]
#[tokio::test(flavor = "multi_thread")]
async fn odd_announcement_does_not_replace_a_target(#[case] change: fn(&mut DirectoryEntry)) {
    let target = start_sound_target("target-1").await;
    let fleet = TestFleet::start(Some(plan()), &[&target]).await;
    let mut odd = target.announcement();
    odd.address.set_port(9);
    change(&mut odd);

    fleet.api.announce(odd).await.unwrap_err();

    let mut later = target.announcement();
    announced(&mut later).sequence += 1;
    fleet.api.announce(later).await.unwrap();
    // The relay lists it after what was announced before.
    let other = start_sound_target("target-2").await.with_service("other");
    fleet.api.announce(other.announcement()).await.unwrap();
    common::wait_until(|| fleet.relay.target_count() == 2).await;
    let response = fleet.request("/again/x", "r1").send().await.unwrap();
    assert_eq!(response.status(), 200);
}
