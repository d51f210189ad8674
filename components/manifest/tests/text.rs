//! Parsing of the services text, reports of its faults, and differences between manifests.

use manifest::{FleetManifest, ManifestFault, ServiceKind};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use units::{CostUnits, FlowWeight, OrganisationName, ServiceName};

const TEXT: &str = r#"
[[region]]
name = "bohemia"

[[data_centre]]
name = "praha-1"
region = "bohemia"

[[service]]
name = "stone-advice"
kind = "model"
depends_on = ["stone-records"]
max_waiting = 128
max_cost = 2048

[[service]]
name = "stone-records"
kind = "plain"

[[service]]
name = "visits"
kind = "plain"
[[service.call]]
method = "POST"
path = "/orders"
repeatable = false
[[service.call]]
method = "POST"
path = "/orders/drafts"
repeatable = true

[[organisation]]
name = "mlyn-hora"
weight = 1.5
key_sha256 = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
"#;

fn fixed_seed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x6d61_6e69),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn valid_text_is_parsed() {
    let manifest = FleetManifest::parse(TEXT).unwrap();

    let advice = &manifest.services[&ServiceName::from("stone-advice")];
    let records = &manifest.services[&ServiceName::from("stone-records")];
    let organisation = &manifest.organisations[&OrganisationName::from("mlyn-hora")];
    assert_eq!(advice.kind, ServiceKind::Model);
    assert_eq!(advice.depends_on, ["stone-records".into()]);
    assert_eq!(
        (advice.max_waiting, advice.max_cost),
        (128, CostUnits(2048))
    );
    assert_eq!((records.max_waiting, records.max_cost), (256, CostUnits(1)));
    assert_eq!(organisation.weight, FlowWeight(1_500));
    assert_eq!(organisation.key_sha256.0[1], 0x11);
}

/// Guards against a call that evades its rule by another spelling of method or path and runs twice.
#[rstest]
#[case("POST", "/orders", false)]
#[case("post", "/orders/7", false)]
#[case("POST", "/orders?day=1", false)]
#[case("POST", "/orders/drafts/2", true)]
#[case("GET", "/orders", true)]
#[case("POST", "/reports", true)]
#[case("POST", "//orders", false)]
#[case("POST", "/./orders/7", false)]
#[case("POST", "/reports/../orders", false)]
#[case("POST", "/%6frders", false)]
#[case("POST", "/orders/7/../drafts", false)]
#[case("POST", "/%zz%", true)]
fn rule_with_the_longest_path_decides(
    #[case] method: &str,
    #[case] path: &str,
    #[case] repeatable: bool,
) {
    let manifest = FleetManifest::parse(TEXT).unwrap();

    let visits = &manifest.services[&ServiceName::from("visits")];

    assert_eq!(visits.is_repeatable(method, path), repeatable);
}

/// Guards against faults that are accepted, or reported at a wrong position.
#[rstest]
#[case("zone = 1", 1, 1, "zone", ManifestFault::UnknownKey)]
#[case(
    "[[region]]\nname = \"a\"\nnmae = 1",
    3,
    1,
    "nmae",
    ManifestFault::UnknownKey
)]
#[case("[[region]]", 1, 1, "[[region]]", ManifestFault::MissingKey("name"))]
#[case("region = 7", 1, 10, "7", ManifestFault::WrongType("a list of tables"))]
#[case(
    "[[region]]\nname = 7",
    2,
    8,
    "7",
    ManifestFault::WrongType("a string")
)]
#[case(
    "[[region]]\nname = \"a b\"",
    2,
    8,
    "\"a b\"",
    ManifestFault::MalformedName
)]
#[case(
    "[[region]]\nname = \"a\"\n[[region]]\nname = \"a\"",
    4,
    8,
    "\"a\"",
    ManifestFault::DuplicateName
)]
#[case(
    "[[data_centre]]\nname = \"a\"\nregion = \"b\"",
    3,
    10,
    "\"b\"",
    ManifestFault::UnknownRegion
)]
#[case(
    "[[service]]\nname = \"a\"\nkind = \"plain\"\ndepends_on = [\"b\"]",
    4,
    15,
    "\"b\"",
    ManifestFault::UnknownDependency
)]
#[case(
    "[[service]]\nname = \"a\"\nkind = \"plain\"\ndepends_on = [\"a\"]",
    4, 15, "\"a\"", ManifestFault::DependencyCycle("a".into())
)]
#[case(
    "[[service]]\nname = \"a\"\nkind = \"plain\"\nmax_cost = 0",
    4,
    12,
    "0",
    ManifestFault::OutOfRange("of at least 1")
)]
#[case(
    "[[organisation]]\nname = \"a\"\nkey_sha256 = \"12\"",
    3,
    14,
    "\"12\"",
    ManifestFault::MalformedKeyHash
)]
fn fault_is_reported_at_its_position(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] value: &str,
    #[case] fault: ManifestFault,
) {
    let errors = FleetManifest::parse(text).unwrap_err();

    let found: Vec<_> = errors
        .iter()
        .map(|error| (error.line, error.column, error.value.as_str(), &error.fault))
        .collect();
    assert_eq!(found, [(line, column, value, &fault)]);
}

#[test]
fn syntax_fault_is_reported_at_its_line() {
    let errors = FleetManifest::parse("[[region]]\nname = \"a").unwrap_err();

    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].line, 2);
}

/// Guards against a parser that stops at the first fault, so that the operator has to correct and
/// submit the text once for each fault.
#[test]
fn all_faults_are_reported_in_order() {
    let text = TEXT
        .replace("kind = \"model\"", "kind = \"modle\"")
        .replace("max_waiting = 128", "max_waiting = -1\nmax_wating = 3")
        .replace("repeatable = false", "repeatable = \"no\"")
        .replace("weight = 1.5", "weight = 0");

    let errors = FleetManifest::parse(&text).unwrap_err();

    let values: Vec<_> = errors.iter().map(|error| error.value.as_str()).collect();
    let expected = ["\"modle\"", "-1", "max_wating", "\"no\"", "0"];
    assert_eq!(values, expected);
}

/// Guards against a cycle of several services, each of which would wait for a live target of the
/// next one, so that none is ever served.
#[test]
fn cycle_of_several_services_is_reported() {
    let service = |name: &str, dependency: &str| {
        format!("[[service]]\nname = {name:?}\nkind = \"plain\"\ndepends_on = [{dependency:?}]\n")
    };
    let text = service("a", "b") + &service("b", "c") + &service("c", "a") + &service("d", "a");

    let errors = FleetManifest::parse(&text).unwrap_err();

    let lines: Vec<_> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [4, 8, 12]);
}

/// Guards against a change of one organisation that is sent as a change of all of them.
#[test]
fn change_of_one_organisation_is_one_change() {
    let organisation = |number: u32, weight: u32| {
        format!(
            "[[organisation]]\nname = \"organisation-{number}\"\nweight = {weight}\n\
             key_sha256 = \"{number:064x}\"\n"
        )
    };
    let text = |weight| {
        let numbers = 0..38_000;
        let all: String = numbers
            .map(|number| organisation(number, if number == 7 { weight } else { 1 }))
            .collect();
        all
    };
    let mut older = FleetManifest::parse(&text(1)).unwrap();
    let newer = FleetManifest::parse(&text(2)).unwrap();

    let changes = older.diff(&newer);
    changes.iter().for_each(|change| older.apply(change));

    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!(older, newer);
}

/// Creates a text whose data centres, services and organisations are selected by the bits.
fn generated_text(bits: u32) -> String {
    let has = |bit: u32| bits >> bit & 1 == 1;
    let mut text = String::from("[[region]]\nname = \"r0\"\n");
    for number in 0..4 {
        if has(number) {
            text += &format!("[[data_centre]]\nname = \"d{number}\"\nregion = \"r0\"\n");
        }
        if has(number + 4) {
            let kind = if has(number + 8) { "model" } else { "plain" };
            text += &format!("[[service]]\nname = \"s{number}\"\nkind = \"{kind}\"\n");
        }
        if has(number + 12) {
            let weight = 1 + (bits >> 16 & 3);
            text += &format!(
                "[[organisation]]\nname = \"o{number}\"\nweight = {weight}\n\
                 key_sha256 = \"{number:064x}\"\n"
            );
        }
    }
    text
}

proptest! {
    #![proptest_config(fixed_seed(256))]

    /// Guards against a difference that does not turn the older manifest into the newer one.
    #[test]
    fn difference_leads_to_the_newer_manifest(older in any::<u32>(), newer in any::<u32>()) {
        let mut older = FleetManifest::parse(&generated_text(older)).unwrap();
        let newer = FleetManifest::parse(&generated_text(newer)).unwrap();
        for change in older.diff(&newer) {
            older.apply(&change);
        }
        prop_assert_eq!(&older, &newer);
        prop_assert!(older.diff(&newer).is_empty());
    }

    /// Guards against a text that makes the parser, and so the leader, panic.
    #[test]
    fn any_text_is_parsed_or_refused(text in "\\PC{0,200}") {
        let _ = FleetManifest::parse(&text);
    }

    /// Guards against a damaged text that makes the leader panic, and faults without a position.
    #[test]
    fn faults_of_a_damaged_text_have_positions(
        at in 0..TEXT.len(),
        length in 0..12usize,
        inserted in "[\\[\\]\"= a-z0-9\n\u{e9}]{0,6}",
    ) {
        let end = (at + length).min(TEXT.len());
        let text = format!("{}{}{}", &TEXT[..at], inserted, &TEXT[end..]);
        if let Err(errors) = FleetManifest::parse(&text) {
            prop_assert!(!errors.is_empty());
            for error in errors {
                prop_assert!(error.line >= 1 && error.line <= text.lines().count() + 1);
                prop_assert!(error.column >= 1);
            }
        }
    }
}
