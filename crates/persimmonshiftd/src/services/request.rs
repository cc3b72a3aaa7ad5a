//! Handling of a request to a service: request keys, endpoint selection, retries and metrics.

use super::{
    request_keys::{KeyUse, ParsedKey},
    send::send,
    Services,
};
use crate::{
    context::Context,
    message::{
        KeyedRequest, KeyedResponse, PeerRequest, PeerResponse, ServiceRequest, ServiceResponse,
    },
    metrics::{RequestLabels, ServiceLabels},
    peers,
};
use persimmon_route::{Decision, EndpointKey, Outcome, Refusal, Request, Verdict};
use persimmon_ticket::Service;
use persimmon_wire::api::{ErrorBody, RunStatus};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// Time that the hop to the daemon that issued the key may take, added to the request timeout of
/// the service. It also takes the place of that timeout if this daemon does not know the service.
const KEYED_HOP_ALLOWANCE: Duration = Duration::from_millis(500);

const STEP: &str = "request";

/// The error for a request that got no complete response.
pub(crate) type RequestError = ErrorBody;

fn error(code: &str, peer: &str, message: &str, ran: RunStatus) -> RequestError {
    match ran {
        RunStatus::NotRun => {
            ErrorBody::not_run(code, STEP, peer, message).with_retry_after_ms(1_000)
        }
        RunStatus::Unknown => ErrorBody::unknown(code, STEP, peer, message),
    }
}

fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
}

impl Services {
    /// Serves a request. One with a key is run by the daemon that issued the key.
    pub(crate) async fn serve(
        context: &Arc<Context>,
        request: ServiceRequest,
        key: Option<String>,
        timeout: Option<Duration>,
    ) -> Result<ServiceResponse, RequestError> {
        let member_id = context.settings.member_id.as_str();
        let Some(key) = key else {
            return run_here(context, request, timeout).await;
        };
        let Some(parsed) = ParsedKey::parse(&key) else {
            return Err(error(
                "bad-key",
                member_id,
                "the request key is not one of ours",
                RunStatus::NotRun,
            ));
        };
        let timeout_ms = timeout.map_or(0, |timeout| timeout.as_millis() as u64);
        let keyed = KeyedRequest {
            key,
            request,
            timeout_ms,
        };
        let answer = if context.services.keys.lock().is_issued_here(&parsed) {
            context.services.serve_keyed(context, keyed).await
        } else {
            forward_to_issuer(context, &parsed, keyed).await?
        };
        match answer {
            KeyedResponse::Answered(answer) => Ok(answer),
            KeyedResponse::Refused(body) => Err(body),
        }
    }

    /// Runs a request whose key this process issued, or returns the outcome of its first use.
    pub(crate) async fn serve_keyed(
        &self,
        context: &Arc<Context>,
        keyed: KeyedRequest,
    ) -> KeyedResponse {
        let member_id = context.settings.member_id.clone();
        let refuse = |message: &str| {
            KeyedResponse::Refused(error(
                "key-unknown",
                &member_id,
                message,
                RunStatus::Unknown,
            ))
        };
        let parsed = ParsedKey::parse(&keyed.key);
        let Some(parsed) = parsed.filter(|key| self.keys.lock().is_issued_here(key)) else {
            return refuse("the process that issued the key is gone, it may have run the request");
        };
        let key_use = self.keys.lock().claim(&parsed, context.now());
        let mut outcome = match key_use {
            KeyUse::Refused(message) => return refuse(message),
            KeyUse::Repeated(outcome) => outcome,
            KeyUse::First(sender) => {
                let outcome = sender.subscribe();
                let context = Arc::clone(context);
                let timeout =
                    (keyed.timeout_ms > 0).then(|| Duration::from_millis(keyed.timeout_ms));
                // Continues even if the caller disconnects, so that its retry finds the outcome.
                tokio::spawn(async move {
                    let answer = match run_here(&context, keyed.request, timeout).await {
                        Ok(answer) => KeyedResponse::Answered(answer),
                        Err(body) => KeyedResponse::Refused(body),
                    };
                    let _ = sender.send(Some(answer));
                });
                outcome
            }
        };
        let completed = outcome.wait_for(Option::is_some).await;
        completed
            .ok()
            .and_then(|answer| answer.clone())
            .unwrap_or_else(|| refuse("the request's outcome was lost"))
    }
}

/// Forwards a request to the daemon that issued its key.
async fn forward_to_issuer(
    context: &Context,
    key: &ParsedKey,
    keyed: KeyedRequest,
) -> Result<KeyedResponse, RequestError> {
    let issuer_gone = "the process that issued the key is gone, it may have run the request";
    let member = context.members.lock().try_find(&key.member).cloned();
    let Some(member) = member.filter(|it| it.incarnation == key.incarnation) else {
        return Err(error(
            "key-unknown",
            &key.member,
            issuer_gone,
            RunStatus::Unknown,
        ));
    };
    let config = context.config.lock().config();
    let service = config.try_find_service(&keyed.request.service);
    let call_timeout = service.map_or(KEYED_HOP_ALLOWANCE, |service| service.request_timeout)
        + KEYED_HOP_ALLOWANCE;
    let message = PeerRequest::Keyed(keyed);
    match context
        .mesh
        .call(member.mesh_address, &message, call_timeout)
        .await
    {
        Ok(PeerResponse::Keyed(answer)) => Ok(answer),
        Ok(_) => Err(error(
            "key-unknown",
            &member.id,
            "odd answer",
            RunStatus::Unknown,
        )),
        // Even if this request was not sent, an earlier one with the same key may have run.
        Err(err) => Err(error(
            "key-unreachable",
            &member.id,
            &err.to_string(),
            RunStatus::Unknown,
        )),
    }
}

/// Checks a request, and sends it from this daemon to endpoints of the service until it is answered
/// or must not be sent again.
async fn run_here(
    context: &Arc<Context>,
    request: ServiceRequest,
    timeout: Option<Duration>,
) -> Result<ServiceResponse, RequestError> {
    let member_id = context.settings.member_id.as_str();
    let readiness = peers::readiness(context);
    // A draining daemon still serves the requests that reach it until load balancers notice.
    if !readiness.ready && !context.is_draining() {
        let reason = readiness.reason.unwrap_or_default();
        return Err(error("not-ready", member_id, &reason, RunStatus::NotRun));
    }
    let config = context.config.lock().config();
    let Some(service) = config.try_find_service(&request.service).cloned() else {
        let message = format!("no service {:?}", request.service);
        return Err(error(
            "unknown-service",
            member_id,
            &message,
            RunStatus::NotRun,
        ));
    };
    if request.body.len() as u64 > service.body_max_bytes {
        let message = format!("the body is over {} bytes", service.body_max_bytes);
        return Err(error(
            "body-too-large",
            member_id,
            &message,
            RunStatus::NotRun,
        ));
    }
    // Continues even if the caller disconnects, so that the endpoint's slot counts as used until
    // the request ends.
    let context = Arc::clone(context);
    let task = tokio::spawn(async move { run_tracked(&context, &service, request, timeout).await });
    task.await.unwrap_or_else(|_| {
        Err(error(
            "internal",
            "daemon",
            "the task failed",
            RunStatus::Unknown,
        ))
    })
}

/// Runs a request and counts it as in progress, and in the metrics.
async fn run_tracked(
    context: &Arc<Context>,
    service: &Service,
    request: ServiceRequest,
    timeout: Option<Duration>,
) -> Result<ServiceResponse, RequestError> {
    let started_at = context.now();
    let id = context.services.begin_request();
    let time_limit = timeout
        .unwrap_or(service.request_timeout)
        .min(service.request_timeout);
    let routing_request = Request {
        id,
        deadline: started_at + time_limit,
        idempotent: is_idempotent(&request.method),
    };
    // Checked after the request was counted: either the shutdown waits for the request, or the
    // request sees that the daemon is closing.
    let result = if context.is_closing() {
        let member_id = context.settings.member_id.as_str();
        Err(error(
            "stopping",
            member_id,
            "the daemon stops, ask another one",
            RunStatus::NotRun,
        ))
    } else {
        send_with_retries(context, service, &routing_request, &request).await
    };
    context.services.end_request();
    record_result(context, service, &result, context.now() - started_at);
    result
}

/// Sends a request to endpoints until it is answered or must not be sent again.
async fn send_with_retries(
    context: &Arc<Context>,
    service: &Service,
    routing_request: &Request,
    request: &ServiceRequest,
) -> Result<ServiceResponse, RequestError> {
    loop {
        let (key, address) = acquire_slot(context, service, routing_request).await?;
        let sent_at = context.now();
        let remaining = routing_request.deadline.saturating_duration_since(sent_at);
        let limit = service.body_max_bytes;
        let result = send(
            &context.services,
            &address,
            request,
            routing_request.idempotent,
            limit,
            remaining,
        )
        .await;
        let outcome = result.as_ref().err().copied().unwrap_or(Outcome::Answered);
        let verdict = complete_attempt(context, service, routing_request, key, outcome, sent_at);
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let message = outcome_message(outcome);
        match verdict {
            Verdict::Retry => {
                let labels = ServiceLabels {
                    service: service.name.clone(),
                };
                context.metrics.retries.get_or_create(&labels).inc();
            }
            Verdict::NotRun => return Err(error("endpoint", &address, message, RunStatus::NotRun)),
            Verdict::Unknown => {
                return Err(error("endpoint", &address, message, RunStatus::Unknown))
            }
        }
    }
}

/// Waits for a free slot at an endpoint, and returns the endpoint's key and address.
async fn acquire_slot(
    context: &Arc<Context>,
    service: &Service,
    routing_request: &Request,
) -> Result<(EndpointKey, String), RequestError> {
    let service_removed = || {
        error(
            "unknown-service",
            &service.name,
            "the service was removed",
            RunStatus::NotRun,
        )
    };
    let routing = {
        let mut entries = context.services.entries.lock();
        let entry = entries.get_mut(&service.name).ok_or_else(service_removed)?;
        entry.route(*routing_request, context.now())
    };
    let decision = match routing {
        Ok(decision) => decision,
        // The request was queued, and the receiver gets the decision later.
        Err(receiver) => {
            context.services.request_queued.notify_one();
            // The sender is dropped only when the service is removed.
            receiver
                .await
                .unwrap_or(Decision::Refuse(Refusal::NoEndpoint))
        }
    };
    let key = match decision {
        Decision::Send(key) => key,
        Decision::Refuse(refusal) => {
            return Err(refusal_error(service, refusal, RunStatus::NotRun))
        }
        Decision::FailUnknown(refusal) => {
            return Err(refusal_error(service, refusal, RunStatus::Unknown))
        }
        // Does not occur: for a queued request `route` returns the receiver instead, and the router
        // reports only final decisions on queued requests.
        Decision::Wait => return Err(service_removed()),
    };
    let entries = context.services.entries.lock();
    let entry = entries.get(&service.name).ok_or_else(service_removed)?;
    let address = entry.router.address(key).ok_or_else(service_removed)?;
    Ok((key, address.to_owned()))
}

fn refusal_error(service: &Service, refusal: Refusal, ran: RunStatus) -> RequestError {
    let code = match refusal {
        Refusal::NoEndpoint => "no-endpoint",
        Refusal::QueueFull => "queue-full",
        Refusal::Deadline { .. } => "deadline",
    };
    error(code, &service.name, &refusal.to_string(), ran)
}

fn outcome_message(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Refused { leaving: true } => "the endpoint is leaving",
        Outcome::Refused { leaving: false } => "the endpoint refused",
        Outcome::NotConnected => "no connection to the endpoint",
        Outcome::Incomplete => "the endpoint's answer was cut",
        Outcome::TimedOut => "the endpoint did not answer in time",
        Outcome::Abandoned => "the caller went away",
    }
}

/// Reports an attempt's outcome to the router, which decides whether to send the request again.
fn complete_attempt(
    context: &Context,
    service: &Service,
    routing_request: &Request,
    key: EndpointKey,
    outcome: Outcome,
    sent_at: Instant,
) -> Verdict {
    let now = context.now();
    let mut entries = context.services.entries.lock();
    let Some(entry) = entries.get_mut(&service.name) else {
        return Verdict::Unknown;
    };
    let verdict = entry
        .router
        .finish(routing_request, key, outcome, now - sent_at, now);
    entry.dispatch(now);
    verdict
}

/// Records a request in the burn counts and the metrics.
fn record_result(
    context: &Context,
    service: &Service,
    result: &Result<ServiceResponse, RequestError>,
    latency: Duration,
) {
    let good = result.is_ok() && latency <= service.objective_latency;
    if let Some(entry) = context.services.entries.lock().get_mut(&service.name) {
        entry
            .burn_counts
            .record(good, latency, context.now_unix_ms());
    }
    let outcome = match result {
        Ok(_) => "answered",
        Err(body) => body.ran.as_str(),
    };
    let (service, outcome) = (service.name.clone(), outcome.to_owned());
    let labels = RequestLabels {
        service: service.clone(),
        outcome,
    };
    context.metrics.requests.get_or_create(&labels).inc();
    let seconds = context
        .metrics
        .request_seconds
        .get_or_create(&ServiceLabels { service });
    seconds.observe(latency.as_secs_f64());
}
