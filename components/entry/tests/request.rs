//! Validation and parsing of callers' requests.

use entry::{ChatBody, is_canonical_path, parse_idempotency_key, split_service_path};
use rstest::rstest;
use units::{CostUnits, ServiceName};

/// Guards against a path that bypasses a rule for calls that may not be repeated.
#[rstest]
#[case("/orders", true)]
#[case("/orders/", true)]
#[case("/orders/7/stones", true)]
#[case("/stones/kámen%20a", true)]
#[case("/", true)]
#[case("//orders", false)]
#[case("/./orders", false)]
#[case("/a/../orders", false)]
#[case("/%6frders", false)]
#[case("/%2Forders", false)]
#[case("/x%2e%2e/orders", false)]
#[case("/orders;v=1", false)]
#[case("\\orders", false)]
#[case("/orders%", false)]
#[case("orders", false)]
fn non_canonical_path_is_detected(#[case] path: &str, #[case] is_canonical: bool) {
    assert_eq!(is_canonical_path(path), is_canonical);
}

#[rstest]
#[case("/services/visits/orders/7", Some(("visits", "/orders/7")))]
#[case("/services/visits", Some(("visits", "/")))]
#[case("/services/visits/", Some(("visits", "/")))]
#[case("/services//orders", None)]
#[case("/other", None)]
fn service_path_is_split(#[case] path: &str, #[case] expected: Option<(&str, &str)>) {
    let expected = expected.map(|(name, rest)| (ServiceName::from(name), rest.to_owned()));

    assert_eq!(split_service_path(path), expected);
}

#[rstest]
#[case(br#"{"model":"m","max_tokens":7}"#, 7, true)]
#[case(br#"{"model":"m","max_completion_tokens":9,"max_tokens":7}"#, 9, true)]
#[case(br#"{"model":"m"}"#, 256, false)]
fn cost_estimate_is_the_callers_token_limit(
    #[case] body: &[u8],
    #[case] cost_estimate: u64,
    #[case] has_token_limit: bool,
) {
    let chat = ChatBody::parse(body).unwrap();

    assert_eq!(
        (chat.cost_estimate, chat.has_token_limit),
        (CostUnits(cost_estimate), has_token_limit)
    );
}

/// Guards against invalid bodies and keys that are accepted, or refused with an outcome other than
/// not-run.
#[test]
fn invalid_requests_are_refused_as_not_run() {
    let too_long_key = [b'k'; 256];
    let refusals = [
        ChatBody::parse(b"{").unwrap_err(),
        ChatBody::parse(b"{}").unwrap_err(),
        parse_idempotency_key(None).unwrap_err(),
        parse_idempotency_key(Some(b"")).unwrap_err(),
        parse_idempotency_key(Some(&too_long_key)).unwrap_err(),
        parse_idempotency_key(Some(&[0xff])).unwrap_err(),
    ];

    for refusal in refusals {
        assert_eq!((refusal.status, refusal.outcome.as_str()), (400, "not-run"));
    }
}
