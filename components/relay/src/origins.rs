//! Software versions at which streams began: records of this entry's streams, and the search for the
//! origin of a stream that a caller continues.

use std::collections::HashSet;
use std::time::Duration;

use cadence::prelude::*;
use client::FleetView;
use entry::Refusal;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use origins::stream_id;
use place::ListedTarget;
use telemetry::{event, events};
use tokio::time::Instant;
use units::{ServiceName, SoftwareVersion};
use wire::{ControlReply, ControlRequest, OriginAnswer, StreamId, StreamOrigin};

use crate::dialect::StreamContinuation;
use crate::forward::RequestAdmission;
use crate::reporter::own_report_interval;
use crate::state::RelayShared;

/// Time within which control nodes must answer where a stream began.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that a new origin needs to be sent to a control node, beyond the interval of reports.
const REPORT_TRANSIT_TIME: Duration = Duration::from_millis(40);

/// Age of the view from which an entry does not continue streams, three renewals. A target may have
/// restarted under its name with another software version since.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_500);

/// Number of searches for an origin that may not have been reported yet.
const MAX_SEARCHES: u32 = 3;

/// `Retry-After` of a refused continuation. A new stream may begin at once.
const CONTINUATION_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time without continuations of a stream after which the next one goes before new streams again.
/// Origins are mostly forgotten before.
const PRECEDENCE_INTERVAL: Duration = Duration::from_secs(30);

/// Where a continued stream began.
#[derive(Debug, Clone)]
pub(crate) struct ContinuedOrigin {
    pub(crate) origin: StreamOrigin,
    /// Whether the request goes before those of new streams. The stream was admitted once, so that
    /// holds once.
    pub(crate) has_precedence: bool,
}

/// Origin that a search has found.
struct FoundOrigin {
    origin: StreamOrigin,
    /// Age of the record, in milliseconds; `None` if there is no record and only one version can
    /// have begun the stream.
    record_age_ms: Option<u64>,
}

/// Records where a stream began, before its first event is forwarded.
pub(crate) fn record_origin(
    shared: &RelayShared,
    stream: StreamId,
    target: &ListedTarget,
    version: &SoftwareVersion,
    lifetime: Duration,
) {
    let now = shared.now();
    let origin = StreamOrigin {
        service: target.service.clone(),
        version: version.clone(),
    };
    shared
        .origins
        .write(|log| log.record(stream, &target.name, origin, lifetime, now));
    // The target may have restarted since the request was placed.
    if let Some(listed) = shared.listed(&target.name)
        && listed.version.as_ref() != Some(version)
    {
        record_restarts(shared, &[listed]);
    }
}

/// Records the versions of targets that may have restarted under their names.
pub(crate) fn record_restarts(shared: &RelayShared, targets: &[ListedTarget]) {
    let now = shared.now();
    for target in targets {
        let Some(version) = &target.version else {
            continue;
        };
        let origin = StreamOrigin {
            service: target.service.clone(),
            version: version.clone(),
        };
        let streams = shared
            .origins
            .write(|log| log.record_restart(&target.name, &origin, now));
        if streams > 0 {
            event!(
                events::ORIGINS_UNCERTAIN,
                target = target.name,
                version = version,
                streams = streams
            );
        }
    }
}

/// Finds where the stream began that a caller continues, and refuses the request if that is not
/// certain.
pub(crate) async fn find_origin(
    shared: &RelayShared,
    continuation: &StreamContinuation,
    admission: &RequestAdmission,
    attempt_id: &str,
) -> Result<ContinuedOrigin, Refusal> {
    let organisation = admission.holder.as_ref().map(|holder| &holder.organisation);
    let first_attempt = continuation.first_attempt.as_deref();
    let stream = first_attempt.map(|attempt| stream_id(organisation, attempt));
    let searched_at = Instant::now();
    let found = search(shared, stream, admission).await;
    let search_ms = searched_at.elapsed().as_millis();
    match found {
        Ok(found) => {
            let is_recorded = found.record_age_ms.is_some();
            let has_precedence = stream
                .filter(|_| is_recorded)
                .is_some_and(|stream| takes_precedence(shared, stream, &found.origin));
            let _ = shared.metrics.incr("continuations.placed");
            event!(
                events::STREAM_CONTINUED,
                request = attempt_id,
                first_attempt = first_attempt.unwrap_or_default(),
                service = found.origin.service,
                version = found.origin.version,
                is_recorded = is_recorded,
                age_ms = found.record_age_ms.unwrap_or_default(),
                has_precedence = has_precedence,
                search_ms = search_ms
            );
            Ok(ContinuedOrigin {
                origin: found.origin,
                has_precedence,
            })
        }
        Err(reason) => {
            let _ = shared.metrics.incr("continuations.refused");
            Err(refuse_continuation(first_attempt, &reason))
        }
    }
}

/// Whether the entry knows the targets well enough to continue a stream.
pub(crate) fn has_current_view(shared: &RelayShared) -> bool {
    let now = shared.now();
    shared.view.read(|view| view.age(now) < MAX_VIEW_AGE)
}

/// Waits for a renewal if the entry was cut off or did not run. Returns whether the view is current.
pub(crate) async fn wait_for_current_view(shared: &RelayShared) -> bool {
    let is_current = |view: &mut FleetView| (view.age(shared.now()) < MAX_VIEW_AGE).then_some(());
    let waiting = shared.view.wait_for(is_current);
    tokio::time::timeout(SEARCH_TIMEOUT, waiting).await.is_ok()
}

/// Whether the continuation of a stream goes before new streams.
fn takes_precedence(shared: &RelayShared, stream: StreamId, origin: &StreamOrigin) -> bool {
    let now = shared.now();
    shared
        .origins
        .write_quietly(|log| log.record_continuation(stream, origin, PRECEDENCE_INTERVAL, now))
}

/// Refusal of a request that cannot continue its stream.
pub(crate) fn refuse_continuation(first_attempt: Option<&str>, reason: &str) -> Refusal {
    let stream = first_attempt.unwrap_or("of an unnamed attempt");
    let message =
        format!("Failed to continue stream {stream}: {reason}; begin the stream anew instead");
    Refusal::not_run(503, "stream-origin", message).retry_after(CONTINUATION_RETRY_AFTER)
}

/// Returns the origin of a stream, or the reason why it is not certain.
async fn search(
    shared: &RelayShared,
    stream: Option<StreamId>,
    admission: &RequestAdmission,
) -> Result<FoundOrigin, String> {
    let mut is_single_checked = false;
    for number in 1..=MAX_SEARCHES {
        match search_record(shared, stream).await {
            OriginAnswer::Known { origin, age_ms } => {
                return Ok(FoundOrigin {
                    origin,
                    record_age_ms: Some(age_ms),
                });
            }
            OriginAnswer::Conflicting => {
                return Err("streams of several versions have this name".into());
            }
            OriginAnswer::Unknown => {}
        }
        if !std::mem::replace(&mut is_single_checked, true) {
            let services = admission.route.split.iter();
            let services = services.filter(|part| part.weight > 0);
            let services: HashSet<&ServiceName> = services.map(|part| &part.service).collect();
            if let Some(origin) = only_origin(shared, &services).await? {
                return Ok(FoundOrigin {
                    origin,
                    record_age_ms: None,
                });
            }
        }
        if stream.is_none() {
            break;
        }
        if number < MAX_SEARCHES {
            tokio::time::sleep(own_report_interval(shared) + REPORT_TRANSIT_TIME).await;
        }
    }
    Err("it is not known which of several software versions began it".into())
}

/// Searches the records of this entry, and then those of the control nodes.
async fn search_record(shared: &RelayShared, stream: Option<StreamId>) -> OriginAnswer {
    let Some(stream) = stream else {
        return OriginAnswer::Unknown;
    };
    let now = shared.now();
    let own = shared.origins.read(|log| log.find(stream, now));
    if own != OriginAnswer::Unknown {
        return own;
    }
    let request = ControlRequest::FindOrigin(stream);
    let controls = shared.client.controls();
    let answers = controls.iter();
    let mut answers: FuturesUnordered<_> = answers
        .map(|control| shared.client.request_at(*control, &request))
        .collect();
    let searching = async {
        while let Some(reply) = answers.next().await {
            if let Ok(ControlReply::Origin(answer)) = reply
                && answer != OriginAnswer::Unknown
            {
                return answer;
            }
        }
        OriginAnswer::Unknown
    };
    let searched = tokio::time::timeout(SEARCH_TIMEOUT, searching).await;
    searched.unwrap_or(OriginAnswer::Unknown)
}

/// The only service and version at which a stream may have begun; `None` if there are several.
async fn only_origin(
    shared: &RelayShared,
    services: &HashSet<&ServiceName>,
) -> Result<Option<StreamOrigin>, String> {
    let mut services = services.iter();
    let (Some(service), None) = (services.next(), services.next()) else {
        return Ok(None);
    };
    let request = ControlRequest::Versions((*service).clone());
    let asking = shared.client.request(&request);
    let reply = tokio::time::timeout(SEARCH_TIMEOUT, asking).await;
    let Ok(Ok(ControlReply::Versions(versions))) = reply else {
        return Err("no control node can tell which software versions may have begun it".into());
    };
    let mut versions = versions.into_iter();
    Ok(match (versions.next(), versions.next()) {
        (Some(version), None) => Some(StreamOrigin {
            service: (*service).clone(),
            version,
        }),
        _ => None,
    })
}
