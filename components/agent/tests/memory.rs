//! Tests of the run buffer, the record of request ids and the cost meters.

use std::time::Duration;

use agent::{MAX_SEEN_REQUESTS, RunBuffer, SeenRequests, SeenVerdict, TargetKind, meter_for};
use rstest::rstest;
use units::{ClockTime, CostUnits, RequestId};
use wire::RunStatus;

/// Guards against a buffer that grows beyond its maximum size while nothing is acknowledged.
#[test]
fn full_buffer_accepts_no_chunk_before_an_acknowledgement() {
    let mut buffer = RunBuffer::new(false);

    while buffer.has_room() {
        buffer.push(&[0; 64 << 10]);
    }
    let chunk_count = buffer.next_number();
    buffer.acknowledge(1);

    assert_eq!(chunk_count, 16);
    assert!(buffer.has_room());
    assert!(buffer.get(0).is_err());
    assert!(buffer.get(1).unwrap().is_some());
}

/// Guards against eviction of a short, acknowledged response that another entry must still be able
/// to read from the beginning.
#[test]
fn kept_response_can_be_read_from_the_beginning() {
    let mut buffer = RunBuffer::new(true);
    buffer.push(b"order 1");

    buffer.acknowledge(1);

    assert!(buffer.is_acknowledged());
    assert_eq!(&*buffer.get(0).unwrap().unwrap().bytes, b"order 1");
}

/// Guards against a delayed start of a request that the agent has already reported as not run.
#[test]
fn request_reported_as_not_run_cannot_start() {
    let mut seen = SeenRequests::default();

    let status = seen.query_or_bar(RequestId(1), ClockTime(0));
    seen.evict_expired(ClockTime(3_600_000));

    assert_eq!(status, RunStatus::NotRun);
    assert_eq!(seen.start(RequestId(1), false), SeenVerdict::Barred);
}

/// Guards against a call that reaches the target twice because the agent evicts its id within the
/// hour for which control keeps the record of the call.
#[test]
fn id_of_ended_call_is_kept_for_one_hour() {
    let mut seen = SeenRequests::default();
    seen.start(RequestId(1), false);
    seen.record_end(RequestId(1), RunStatus::Ended, ClockTime(0));

    seen.evict_expired(ClockTime(0) + Duration::from_secs(3_600));

    assert_eq!(seen.start(RequestId(1), false), SeenVerdict::Attach);
    assert_eq!(
        seen.query_or_bar(RequestId(1), ClockTime(0)),
        RunStatus::Ended
    );
}

/// Guards against eviction of ids to make room for new ones, which would let an old request be
/// forwarded again.
#[test]
fn full_record_refuses_new_requests() {
    let mut seen = SeenRequests::default();
    for id in 0..MAX_SEEN_REQUESTS as u128 {
        seen.start(RequestId(id), true);
    }

    let new_id = RequestId(u128::MAX);

    assert_eq!(seen.start(new_id, true), SeenVerdict::Full);
    assert_eq!(seen.query_or_bar(new_id, ClockTime(0)), RunStatus::Unknown);
    assert_eq!(seen.start(RequestId(0), true), SeenVerdict::Attach);
}

const EVENTS: &str = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n";
const USAGE: &str =
    "data: {\"choices\":[],\"usage\":{\"completion_tokens\":5}}\n\ndata: [DONE]\n\n";
const WHOLE: &str = "{\"choices\":[{\"message\":{\"content\":\"abcdefgh\"}}]}";
const WHOLE_USAGE: &str =
    "{\"choices\":[{\"message\":{\"content\":\"abcdefgh\"}}],\"usage\":{\"completion_tokens\":1}}";

#[rstest]
#[case::tokens(TargetKind::Model, "text/event-stream", EVENTS.to_owned(), 2)]
#[case::usage(TargetKind::Model, "text/event-stream", format!("{EVENTS}{USAGE}"), 5)]
#[case::whole(TargetKind::Model, "application/json", WHOLE.to_owned(), 2)]
#[case::whole_usage(TargetKind::Model, "application/json", WHOLE_USAGE.to_owned(), 1)]
#[case::call(TargetKind::Plain, "text/plain", "order 1".to_owned(), 1)]
fn cost_is_independent_of_the_body_split(
    #[case] kind: TargetKind,
    #[case] content_type: &str,
    #[case] body: String,
    #[case] cost: u64,
    #[values(1, 7, 4096)] part_size: usize,
) {
    let mut meter = meter_for(kind, content_type);

    for bytes in body.as_bytes().chunks(part_size) {
        meter.feed(bytes);
    }

    assert_eq!(meter.finish(), CostUnits(cost));
}
