//! HTTP handlers for callers and for health checks.

use std::sync::{Arc, Mutex};

use cadence::prelude::*;
use salvo::http::HeaderMap;
use salvo::prelude::*;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{Instrument, Span, info_span};
use units::{CostUnits, FlowWeight, OrganisationName, PrefixHash, ServiceName};
use wire::{FlowKey, HeaderField, RequestHead};

use crate::crashes::content_trait;
use crate::fleet::{KeyIndex, has_target, missing_dependency};
use crate::refusal::Refusal;
use crate::reply;
use crate::request::{
    CHAT_PATH, ChatBody, CheckedRequest, hash_bearer_key, is_canonical_path, parse_idempotency_key,
    split_service_path,
};
use crate::serve::{OpenRequest, RETRY_AFTER, serve};
use crate::sink::{ResponsePart, ResponseSink};
use crate::state::EntryShared;

/// Request headers that are not forwarded: hop-by-hop headers, the organisation's key, and headers
/// that the agent's HTTP client sets.
const NOT_FORWARDED_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handler of the routes on which callers send requests.
struct CallerHandler {
    shared: EntryShared,
    key_index: Arc<Mutex<KeyIndex>>,
}

/// Organisation of a caller and its weight.
struct CallerIdentity {
    organisation: OrganisationName,
    weight: FlowWeight,
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _ = self.shared.metrics.incr("requests");
        let traceparent = header_text(req.headers(), "traceparent").map(str::to_owned);
        let span = request_span(traceparent.as_deref());
        match self.accept(req, traceparent).await {
            Ok(request) => self.serve_request(request, span, res).await,
            Err(refusal) => {
                let _ = self.shared.metrics.incr("refusals");
                reply::send_refusal(res, &refusal);
            }
        }
    }
}

impl CallerHandler {
    /// Validates a request and reads its body.
    async fn accept(
        &self,
        req: &mut Request,
        traceparent: Option<String>,
    ) -> Result<OpenRequest, Refusal> {
        let deadline = Instant::now() + self.shared.settings.limits.request_timeout;
        Refusal::check_version(req.version())?;
        self.check_headers(req)?;
        // Without a lease the configuration may be old, and callers never retry what it does not allow.
        self.check_serving()?;
        let caller = self.identify(req)?;
        let body = self.read_body(req).await?;
        self.check_serving()?;
        let checked = self.check_request(req, caller.organisation, body)?;
        self.check_targets(&checked.flow.service)?;
        let service = &checked.flow.service;
        let max_waiting = self.shared.view.read(|view| {
            let spec = view.config.manifest.services.get(service);
            spec.map_or(0, |spec| spec.max_waiting)
        });
        Ok(OpenRequest {
            body: Arc::new(checked.body.clone()),
            content: content_trait(&checked),
            checked,
            weight: caller.weight,
            max_waiting,
            deadline,
            traceparent,
        })
    }

    fn check_headers(&self, req: &Request) -> Result<(), Refusal> {
        let headers = req.headers().iter();
        let size: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let limit = self.shared.settings.limits.max_headers;
        if size as u64 > limit.0 {
            let message = format!("Failed to accept headers of {size} bytes: the limit is {limit}");
            return Err(Refusal::not_run(431, "headers-too-large", message));
        }
        Ok(())
    }

    fn identify(&self, req: &Request) -> Result<CallerIdentity, Refusal> {
        let refuse = |message: &str| Refusal::not_run(401, "unauthorised", message);
        let hash = header_text(req.headers(), "authorization")
            .and_then(hash_bearer_key)
            .ok_or_else(|| refuse("Failed to identify the caller: no bearer key"))?;
        let mut key_index = self
            .key_index
            .lock()
            .expect("no thread panics while it holds the lock");
        let identity = self.shared.view.read(|view| key_index.find(view, &hash));
        let (organisation, weight) =
            identity.ok_or_else(|| refuse("Failed to identify the caller: unknown key"))?;
        Ok(CallerIdentity {
            organisation,
            weight,
        })
    }

    fn check_serving(&self) -> Result<(), Refusal> {
        let is_leaving = self.shared.board.read(|state| state.is_leaving);
        let message = if is_leaving {
            "Failed to accept the request: the entry is leaving"
        } else if !self.shared.has_permission() {
            "Failed to accept the request: the entry has no lease or is out of service"
        } else {
            return Ok(());
        };
        Err(Refusal::not_run(503, "not-serving", message).retry_after(RETRY_AFTER))
    }

    fn check_targets(&self, service: &ServiceName) -> Result<(), Refusal> {
        let missing = self.shared.view.read(|view| {
            if has_target(view, service) {
                missing_dependency(view, service)
            } else {
                Some(service.clone())
            }
        });
        match missing {
            None => Ok(()),
            Some(missing) => {
                let message =
                    format!("Failed to accept the request: service {missing} has no live target");
                Err(Refusal::not_run(503, "no-target", message).retry_after(RETRY_AFTER))
            }
        }
    }

    async fn read_body(&self, req: &mut Request) -> Result<Vec<u8>, Refusal> {
        let limits = &self.shared.settings.limits;
        let max_bytes = limits.max_body.0;
        let too_large = || {
            let message = format!("Failed to accept the body: the limit is {max_bytes} bytes");
            Refusal::not_run(413, "body-too-large", message)
        };
        let content_length = header_text(req.headers(), "content-length")
            .and_then(|length| length.parse::<u64>().ok());
        if content_length.is_some_and(|length| length > max_bytes) {
            return Err(too_large());
        }
        let payload = req.payload_with_max_size(max_bytes as usize);
        match tokio::time::timeout(limits.body_timeout, payload).await {
            Ok(Ok(bytes)) => Ok(bytes.to_vec()),
            Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => Err(too_large()),
            Ok(Err(error)) => {
                let message = format!("Failed to read the body: {error}");
                Err(Refusal::not_run(400, "bad-request", message))
            }
            Err(_) => Err(Refusal::not_run(
                408,
                "body-timeout",
                "Failed to read the body in time",
            )),
        }
    }

    fn check_request(
        &self,
        req: &Request,
        organisation: OrganisationName,
        body: Vec<u8>,
    ) -> Result<CheckedRequest, Refusal> {
        if req.uri().path() == CHAT_PATH {
            self.check_chat(req, organisation, body)
        } else {
            self.check_service(req, organisation, body)
        }
    }

    fn check_chat(
        &self,
        req: &Request,
        organisation: OrganisationName,
        body: Vec<u8>,
    ) -> Result<CheckedRequest, Refusal> {
        let chat = ChatBody::parse(&body)?;
        let max_cost = self.find_max_cost(&chat.service, manifest::ServiceKind::Model)?;
        if chat.has_token_limit && chat.cost_estimate > max_cost {
            let message = format!(
                "Failed to accept a request for {} tokens: the limit of {} is {max_cost}",
                chat.cost_estimate, chat.service
            );
            return Err(Refusal::not_run(400, "too-costly", message));
        }
        Ok(CheckedRequest {
            flow: FlowKey {
                organisation,
                service: chat.service,
            },
            head: request_head(req, CHAT_PATH.into()),
            body,
            cost_estimate: chat.cost_estimate.min(max_cost),
            prefix: chat.prefix,
            idempotency_key: None,
        })
    }

    fn check_service(
        &self,
        req: &Request,
        organisation: OrganisationName,
        body: Vec<u8>,
    ) -> Result<CheckedRequest, Refusal> {
        let path = req.uri().path();
        let (service, path) = split_service_path(path)
            .ok_or_else(|| Refusal::not_run(404, "not-found", "Failed to find the path"))?;
        self.find_max_cost(&service, manifest::ServiceKind::Plain)?;
        let is_repeatable = self.is_repeatable(&service, req.method().as_str(), &path)?;
        let header = req.headers().get("idempotency-key");
        let idempotency_key = if is_repeatable {
            None
        } else {
            Some(parse_idempotency_key(header.map(|value| value.as_bytes()))?)
        };
        let target_path = match req.uri().query() {
            Some(query) => format!("{path}?{query}"),
            None => path,
        };
        Ok(CheckedRequest {
            flow: FlowKey {
                organisation,
                service,
            },
            head: request_head(req, target_path),
            body,
            cost_estimate: CostUnits(1),
            prefix: PrefixHash(0),
            idempotency_key,
        })
    }

    /// Returns the maximum cost of a request to a service. Fails unless a service of this name and
    /// kind exists.
    fn find_max_cost(
        &self,
        service: &ServiceName,
        kind: manifest::ServiceKind,
    ) -> Result<CostUnits, Refusal> {
        let max_cost = self.shared.view.read(|view| {
            let spec = view.config.manifest.services.get(service)?;
            (spec.kind == kind).then_some(spec.max_cost)
        });
        max_cost.ok_or_else(|| {
            let message = format!("Failed to find {service}: no such service");
            Refusal::not_run(404, "not-found", message)
        })
    }

    fn is_repeatable(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Result<bool, Refusal> {
        let (has_rules, is_repeatable) = self.shared.view.read(|view| {
            let spec = view.config.manifest.services.get(service);
            spec.map_or((false, true), |spec| {
                (!spec.calls.is_empty(), spec.is_repeatable(method, path))
            })
        });
        if has_rules && !is_canonical_path(path) {
            let message = format!("Failed to accept path {path:?}: it has a plainer spelling");
            return Err(Refusal::not_run(400, "bad-path", message));
        }
        Ok(is_repeatable)
    }

    /// Serves a request in a task of its own and sends its response.
    async fn serve_request(&self, request: OpenRequest, span: Span, res: &mut Response) {
        let deadline = request.deadline;
        let (sink, parts) = ResponseSink::new();
        tokio::spawn(serve(self.shared.clone(), request, sink).instrument(span));
        respond(res, parts, deadline).await;
    }
}

/// Waits for the first part of a response, then streams the rest. A refusal becomes the response.
async fn respond(res: &mut Response, mut parts: mpsc::Receiver<ResponsePart>, deadline: Instant) {
    match tokio::time::timeout_at(deadline + reply::DEADLINE_GRACE_PERIOD, parts.recv()).await {
        Ok(Some(ResponsePart::Head(head))) => reply::stream_response(res, &head, parts),
        Ok(Some(ResponsePart::Refusal(refusal))) => reply::send_refusal(res, &refusal),
        Ok(_) => {
            let message = "The request ended without a response";
            reply::send_refusal(res, &Refusal::unknown(502, "no-response", message));
        }
        Err(_) => {
            let message = "The deadline has passed and the request may still run";
            reply::send_refusal(res, &Refusal::unknown(504, "deadline-passed", message));
        }
    }
}

fn request_span(traceparent: Option<&str>) -> Span {
    match traceparent {
        Some(traceparent) => info_span!(parent: None, "entry.request", traceparent = traceparent),
        None => info_span!(parent: None, "entry.request"),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn request_head(req: &Request, path: String) -> RequestHead {
    let headers = req.headers().iter();
    RequestHead {
        method: req.method().as_str().into(),
        path,
        headers: headers
            .filter(|(name, _)| !NOT_FORWARDED_HEADERS.contains(&name.as_str()))
            .map(|(name, value)| HeaderField {
                name: name.as_str().into(),
                value: value.as_bytes().to_vec(),
            })
            .collect(),
    }
}

struct ReadyCheck {
    shared: EntryShared,
}

#[async_trait]
impl Handler for ReadyCheck {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let is_leaving = self.shared.board.read(|state| state.is_leaving);
        let is_ready = !is_leaving && self.shared.has_permission();
        res.status_code(if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
        res.render(if is_ready { "ready" } else { "not ready" });
    }
}

#[handler]
async fn healthz() -> &'static str {
    "alive"
}

#[handler]
async fn not_found(res: &mut Response) {
    let refusal = Refusal::not_run(404, "not-found", "Failed to find the path");
    reply::send_refusal(res, &refusal);
}

#[handler]
async fn wrong_method(req: &mut Request, res: &mut Response) {
    let message = format!("Failed to accept method {} at this path", req.method());
    let refusal = Refusal::not_run(405, "wrong-method", message);
    reply::send_refusal(res, &refusal);
}

/// Routes of the address for callers' HTTP.
pub(crate) fn routes(shared: EntryShared) -> Router {
    let key_index = Arc::new(Mutex::new(KeyIndex::default()));
    let caller_handler = || CallerHandler {
        shared: shared.clone(),
        key_index: key_index.clone(),
    };
    Router::new()
        .push(Router::with_path("healthz").get(healthz).goal(wrong_method))
        .push(
            Router::with_path("readyz")
                .get(ReadyCheck {
                    shared: shared.clone(),
                })
                .goal(wrong_method),
        )
        .push(
            Router::with_path("v1/chat/completions")
                .post(caller_handler())
                .goal(wrong_method),
        )
        .push(Router::with_path("services/{**rest}").goal(caller_handler()))
        .push(Router::with_path("{**rest}").goal(not_found))
}
