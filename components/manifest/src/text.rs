//! Parsing of the services text into a manifest.

use std::collections::BTreeSet;

use toml::de::DeTable;
use units::{CostUnits, FlowWeight, OrganisationName, RegionName, ServiceName};

use crate::check::{ReferenceSpans, check_references};
use crate::error::{ManifestError, ManifestFault};
use crate::reader::{FaultList, LocatedValue, TableReader};
use crate::spec::{CallRule, FleetManifest, KeyHash, OrganisationSpec, ServiceKind, ServiceSpec};

/// Default of `max_waiting`, in requests of each organisation.
const DEFAULT_MAX_WAITING: u32 = 256;

/// Default of `max_cost` for a model service, in tokens.
const DEFAULT_MODEL_MAX_COST: u64 = 4_096;

/// Default of `max_cost` for a plain service, in calls.
const DEFAULT_PLAIN_MAX_COST: u64 = 1;

const MAX_NAME_CHARS: usize = 64;

const MAX_WEIGHT_THOUSANDTHS: f64 = 1_000_000.0;

impl FleetManifest {
    /// Parses and validates a services text; an error lists all faults in the order of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<ManifestError>> {
        let mut faults = FaultList::new(text);
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(error) => {
                let span = error.span().unwrap_or_default();
                faults.push(&span, ManifestFault::Syntax(error.message().into()));
                return Err(faults.into_errors());
            }
        };
        let root = TableReader::new(table.get_ref(), table.span());
        let manifest = read_manifest(&root, &mut faults);
        if faults.is_empty() {
            Ok(manifest)
        } else {
            Err(faults.into_errors())
        }
    }
}

fn read_manifest(root: &TableReader<'_, '_>, faults: &mut FaultList<'_>) -> FleetManifest {
    root.check_keys(
        &["region", "data_centre", "service", "organisation"],
        faults,
    );
    let mut manifest = FleetManifest::default();
    let mut references = ReferenceSpans::default();
    for table in root.tables("region", faults) {
        read_region(&table, &mut manifest, faults);
    }
    for table in root.tables("data_centre", faults) {
        read_data_centre(&table, &mut manifest, &mut references, faults);
    }
    for table in root.tables("service", faults) {
        read_service(&table, &mut manifest, &mut references, faults);
    }
    let mut hashes = BTreeSet::new();
    for table in root.tables("organisation", faults) {
        read_organisation(&table, &mut manifest, &mut hashes, faults);
    }
    check_references(&manifest, &references, faults);
    manifest
}

fn read_name(
    table: &TableReader<'_, '_>,
    faults: &mut FaultList<'_>,
) -> Option<LocatedValue<String>> {
    let name = table.required_string("name", faults)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let length = name.value.chars().count();
    if (1..=MAX_NAME_CHARS).contains(&length) && name.value.chars().all(is_allowed) {
        return Some(name);
    }
    faults.push(&name.span, ManifestFault::MalformedName);
    None
}

fn read_region(
    table: &TableReader<'_, '_>,
    manifest: &mut FleetManifest,
    faults: &mut FaultList<'_>,
) {
    table.check_keys(&["name"], faults);
    if let Some(name) = read_name(table, faults)
        && !manifest
            .regions
            .insert(RegionName::from(name.value.as_str()))
    {
        faults.push(&name.span, ManifestFault::DuplicateName);
    }
}

fn read_data_centre(
    table: &TableReader<'_, '_>,
    manifest: &mut FleetManifest,
    references: &mut ReferenceSpans,
    faults: &mut FaultList<'_>,
) {
    table.check_keys(&["name", "region"], faults);
    let name = read_name(table, faults);
    let region = table.required_string("region", faults);
    let (Some(name), Some(region)) = (name, region) else {
        return;
    };
    let region_name = RegionName::from(region.value.as_str());
    let previous = manifest
        .data_centres
        .insert(name.value.as_str().into(), region_name.clone());
    if previous.is_some() {
        faults.push(&name.span, ManifestFault::DuplicateName);
    }
    references.regions.push((region_name, region.span));
}

fn read_service(
    table: &TableReader<'_, '_>,
    manifest: &mut FleetManifest,
    references: &mut ReferenceSpans,
    faults: &mut FaultList<'_>,
) {
    let known_keys = [
        "name",
        "kind",
        "depends_on",
        "max_waiting",
        "max_cost",
        "call",
    ];
    table.check_keys(&known_keys, faults);
    let name = read_name(table, faults);
    let kind = read_kind(table, faults);
    let dependencies = table.string_list("depends_on", faults);
    let max_waiting = read_max_waiting(table, faults);
    let max_cost = read_max_cost(table, kind, faults);
    let calls = read_calls(table, faults);
    let (Some(name), Some(kind)) = (name, kind) else {
        return;
    };
    let service = ServiceName::from(name.value.as_str());
    let mut depends_on = Vec::new();
    for dependency in dependencies {
        let dependency_name = ServiceName::from(dependency.value.as_str());
        depends_on.push(dependency_name.clone());
        let reference = (service.clone(), dependency_name, dependency.span);
        references.dependencies.push(reference);
    }
    let spec = ServiceSpec {
        kind,
        depends_on,
        max_waiting,
        max_cost,
        calls,
    };
    if manifest.services.insert(service, spec).is_some() {
        faults.push(&name.span, ManifestFault::DuplicateName);
    }
}

fn read_kind(table: &TableReader<'_, '_>, faults: &mut FaultList<'_>) -> Option<ServiceKind> {
    let kind = table.required_string("kind", faults)?;
    match kind.value.as_str() {
        "model" => Some(ServiceKind::Model),
        "plain" => Some(ServiceKind::Plain),
        _ => {
            let expected = ManifestFault::OutOfRange("\"model\" or \"plain\"");
            faults.push(&kind.span, expected);
            None
        }
    }
}

fn read_max_waiting(table: &TableReader<'_, '_>, faults: &mut FaultList<'_>) -> u32 {
    let Some(number) = table.integer("max_waiting", faults) else {
        return DEFAULT_MAX_WAITING;
    };
    match u32::try_from(number.value) {
        Ok(count) if count > 0 => count,
        _ => {
            faults.push(
                &number.span,
                ManifestFault::OutOfRange("from 1 to 4294967295"),
            );
            DEFAULT_MAX_WAITING
        }
    }
}

fn read_max_cost(
    table: &TableReader<'_, '_>,
    kind: Option<ServiceKind>,
    faults: &mut FaultList<'_>,
) -> CostUnits {
    let default = match kind {
        Some(ServiceKind::Plain) => DEFAULT_PLAIN_MAX_COST,
        _ => DEFAULT_MODEL_MAX_COST,
    };
    let Some(number) = table.integer("max_cost", faults) else {
        return CostUnits(default);
    };
    if number.value < 1 {
        faults.push(&number.span, ManifestFault::OutOfRange("of at least 1"));
    }
    CostUnits(number.value.max(1) as u64)
}

fn read_calls(table: &TableReader<'_, '_>, faults: &mut FaultList<'_>) -> Vec<CallRule> {
    let mut rules = Vec::new();
    for call in table.tables("call", faults) {
        call.check_keys(&["method", "path", "repeatable"], faults);
        let method = call.required_string("method", faults);
        let path = call.required_string("path", faults);
        let repeatable = call.required_bool("repeatable", faults);
        if let Some(method) = &method
            && !method.value.chars().all(|c| c.is_ascii_alphabetic())
        {
            faults.push(
                &method.span,
                ManifestFault::OutOfRange("that is an HTTP method"),
            );
        }
        if let Some(path) = &path
            && !path.value.starts_with('/')
        {
            faults.push(
                &path.span,
                ManifestFault::OutOfRange("that begins with '/'"),
            );
        }
        if let (Some(method), Some(path), Some(repeatable)) = (method, path, repeatable) {
            rules.push(CallRule {
                method: method.value.to_ascii_uppercase(),
                path: path.value,
                repeatable,
            });
        }
    }
    rules
}

fn read_organisation(
    table: &TableReader<'_, '_>,
    manifest: &mut FleetManifest,
    hashes: &mut BTreeSet<KeyHash>,
    faults: &mut FaultList<'_>,
) {
    table.check_keys(&["name", "weight", "key_sha256"], faults);
    let name = read_name(table, faults);
    let weight = read_weight(table, faults);
    let hash = read_key_hash(table, hashes, faults);
    let (Some(name), Some(key_sha256)) = (name, hash) else {
        return;
    };
    let organisation = OrganisationName::from(name.value.as_str());
    let spec = OrganisationSpec { weight, key_sha256 };
    if manifest.organisations.insert(organisation, spec).is_some() {
        faults.push(&name.span, ManifestFault::DuplicateName);
    }
}

fn read_weight(table: &TableReader<'_, '_>, faults: &mut FaultList<'_>) -> FlowWeight {
    let Some(weight) = table.number("weight", faults) else {
        return FlowWeight::UNIT;
    };
    let thousandths = (weight.value * 1_000.0).round();
    if !(1.0..=MAX_WEIGHT_THOUSANDTHS).contains(&thousandths) {
        faults.push(
            &weight.span,
            ManifestFault::OutOfRange("from 0.001 to 1000"),
        );
        return FlowWeight::UNIT;
    }
    FlowWeight(thousandths as u32)
}

fn read_key_hash(
    table: &TableReader<'_, '_>,
    hashes: &mut BTreeSet<KeyHash>,
    faults: &mut FaultList<'_>,
) -> Option<KeyHash> {
    let text = table.required_string("key_sha256", faults)?;
    let hash = match text.value.parse() {
        Ok(hash) => hash,
        Err(fault) => {
            faults.push(&text.span, fault);
            return None;
        }
    };
    if !hashes.insert(hash) {
        faults.push(&text.span, ManifestFault::DuplicateKeyHash);
    }
    Some(hash)
}
