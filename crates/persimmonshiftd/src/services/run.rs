//! The way of one request through this daemon.

use super::{
    keys::{ParsedKey, Use},
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

/// Added to a request's own time for the way to the daemon that issued its key.
const KEYED_HOP: Duration = Duration::from_millis(500);

const STEP: &str = "request";

/// A request without a whole answer.
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
    /// Serves a request; one with a key is run by the daemon that issued the key.
    pub(crate) async fn serve(
        context: &Arc<Context>,
        request: ServiceRequest,
        key: Option<String>,
        timeout: Option<Duration>,
    ) -> Result<ServiceResponse, RequestError> {
        let own = context.settings.member_id.as_str();
        let Some(key) = key else {
            return run(context, request, timeout).await;
        };
        let Some(parsed) = ParsedKey::parse(&key) else {
            return Err(error(
                "bad-key",
                own,
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
        let answer = if context.services.keys.lock().is_own(&parsed) {
            context.services.serve_keyed(context, keyed).await
        } else {
            forward(context, &parsed, keyed).await?
        };
        match answer {
            KeyedResponse::Answered(answer) => Ok(answer),
            KeyedResponse::Refused(body) => Err(body),
        }
    }

    /// Runs a request whose key this process issued, once, and repeats its outcome.
    pub(crate) async fn serve_keyed(
        &self,
        context: &Arc<Context>,
        keyed: KeyedRequest,
    ) -> KeyedResponse {
        let own = context.settings.member_id.clone();
        let refuse = |message: &str| {
            KeyedResponse::Refused(error("key-unknown", &own, message, RunStatus::Unknown))
        };
        let parsed = ParsedKey::parse(&keyed.key);
        let Some(parsed) = parsed.filter(|key| self.keys.lock().is_own(key)) else {
            return refuse("the process that issued the key is gone, it may have run the request");
        };
        let used = self.keys.lock().take(&parsed, context.now());
        let mut outcome = match used {
            Use::Refused(message) => return refuse(message),
            Use::Again(outcome) => outcome,
            Use::First(sender) => {
                let outcome = sender.subscribe();
                let context = Arc::clone(context);
                let timeout =
                    (keyed.timeout_ms > 0).then(|| Duration::from_millis(keyed.timeout_ms));
                // It goes on when the caller hangs up, for the caller's retry to find.
                tokio::spawn(async move {
                    let answer = match run(&context, keyed.request, timeout).await {
                        Ok(answer) => KeyedResponse::Answered(answer),
                        Err(body) => KeyedResponse::Refused(body),
                    };
                    let _ = sender.send(Some(answer));
                });
                outcome
            }
        };
        let settled = outcome.wait_for(Option::is_some).await;
        settled
            .ok()
            .and_then(|answer| answer.clone())
            .unwrap_or_else(|| refuse("the request's outcome was lost"))
    }
}

/// Passes a request on to the daemon that issued its key.
async fn forward(
    context: &Context,
    key: &ParsedKey,
    keyed: KeyedRequest,
) -> Result<KeyedResponse, RequestError> {
    let gone = "the process that issued the key is gone, it may have run the request";
    let member = context.members.lock().try_find(&key.member).cloned();
    let Some(member) = member.filter(|it| it.incarnation == key.incarnation) else {
        return Err(error("key-unknown", &key.member, gone, RunStatus::Unknown));
    };
    let config = context.config.lock().config();
    let service = config.try_find_service(&keyed.request.service);
    let most = service.map_or(KEYED_HOP, |service| service.request_timeout) + KEYED_HOP;
    let message = PeerRequest::Keyed(keyed);
    match context.mesh.call(member.mesh_address, &message, most).await {
        Ok(PeerResponse::Keyed(answer)) => Ok(answer),
        Ok(_) => Err(error(
            "key-unknown",
            &member.id,
            "odd answer",
            RunStatus::Unknown,
        )),
        // Even when this use was not sent, an earlier one may have run.
        Err(err) => Err(error(
            "key-unreachable",
            &member.id,
            &err.to_string(),
            RunStatus::Unknown,
        )),
    }
}

/// Runs a request at this daemon.
async fn run(
    context: &Arc<Context>,
    request: ServiceRequest,
    timeout: Option<Duration>,
) -> Result<ServiceResponse, RequestError> {
    let own = context.settings.member_id.as_str();
    let ready = peers::readiness(context);
    // A daemon that drains still serves what reaches it; the balancer sends less and less.
    if !ready.ready && !context.is_draining() {
        let reason = ready.reason.unwrap_or_default();
        return Err(error("not-ready", own, &reason, RunStatus::NotRun));
    }
    let config = context.config.lock().config();
    let Some(service) = config.try_find_service(&request.service).cloned() else {
        let message = format!("no service {:?}", request.service);
        return Err(error("unknown-service", own, &message, RunStatus::NotRun));
    };
    if request.body.len() as u64 > service.body_max_bytes {
        let message = format!("the body is over {} bytes", service.body_max_bytes);
        return Err(error("body-too-large", own, &message, RunStatus::NotRun));
    }
    // The sending goes on when the caller hangs up, so that slots are counted to the end.
    let context = Arc::clone(context);
    let task = tokio::spawn(async move { attempt(&context, &service, request, timeout).await });
    task.await.unwrap_or_else(|_| {
        Err(error(
            "internal",
            "daemon",
            "the task failed",
            RunStatus::Unknown,
        ))
    })
}

async fn attempt(
    context: &Arc<Context>,
    service: &Service,
    request: ServiceRequest,
    timeout: Option<Duration>,
) -> Result<ServiceResponse, RequestError> {
    let started_at = context.now();
    let id = context.services.begin();
    let allowed = timeout
        .unwrap_or(service.request_timeout)
        .min(service.request_timeout);
    let ticket = Request {
        id,
        deadline: started_at + allowed,
        idempotent: is_idempotent(&request.method),
    };
    // Asked after it was counted, so that a stop either sees it in progress or is seen by it.
    let result = if context.is_closing() {
        let own = context.settings.member_id.as_str();
        Err(error(
            "stopping",
            own,
            "the daemon stops, ask another one",
            RunStatus::NotRun,
        ))
    } else {
        tries(context, service, &ticket, &request).await
    };
    context.services.end();
    record(context, service, &result, context.now() - started_at);
    result
}

async fn tries(
    context: &Arc<Context>,
    service: &Service,
    ticket: &Request,
    request: &ServiceRequest,
) -> Result<ServiceResponse, RequestError> {
    loop {
        let (key, address) = choose(context, service, ticket).await?;
        let sent_at = context.now();
        let left = ticket.deadline.saturating_duration_since(sent_at);
        let limit = service.body_max_bytes;
        let result = send(
            &context.services,
            &address,
            request,
            ticket.idempotent,
            limit,
            left,
        )
        .await;
        let outcome = result.as_ref().err().copied().unwrap_or(Outcome::Answered);
        let verdict = finish(context, service, ticket, key, outcome, sent_at);
        let outcome = match result {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        let message = outcome_text(outcome);
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

/// Waits for a slot at an endpoint.
async fn choose(
    context: &Arc<Context>,
    service: &Service,
    ticket: &Request,
) -> Result<(EndpointKey, String), RequestError> {
    let none = || {
        error(
            "unknown-service",
            &service.name,
            "the service was removed",
            RunStatus::NotRun,
        )
    };
    let decided = {
        let mut entries = context.services.entries.lock();
        let entry = entries.get_mut(&service.name).ok_or_else(none)?;
        entry.decide(*ticket, context.now())
    };
    let decision = match decided {
        Ok(decision) => decision,
        Err(receiver) => {
            context.services.waits.notify_one();
            // The sender goes only when the service is removed.
            receiver
                .await
                .unwrap_or(Decision::Refuse(Refusal::NoEndpoint))
        }
    };
    let key = match decision {
        Decision::Send(key) => key,
        Decision::Refuse(refusal) => return Err(refused(service, refusal, RunStatus::NotRun)),
        Decision::FailUnknown(refusal) => {
            return Err(refused(service, refusal, RunStatus::Unknown))
        }
        Decision::Wait => return Err(none()),
    };
    let entries = context.services.entries.lock();
    let entry = entries.get(&service.name).ok_or_else(none)?;
    let address = entry.router.address(key).ok_or_else(none)?;
    Ok((key, address.to_owned()))
}

fn refused(service: &Service, refusal: Refusal, ran: RunStatus) -> RequestError {
    let code = match refusal {
        Refusal::NoEndpoint => "no-endpoint",
        Refusal::QueueFull => "queue-full",
        Refusal::Deadline { .. } => "deadline",
    };
    error(code, &service.name, &refusal.to_string(), ran)
}

fn outcome_text(outcome: Outcome) -> &'static str {
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

fn finish(
    context: &Context,
    service: &Service,
    ticket: &Request,
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
        .finish(ticket, key, outcome, now - sent_at, now);
    entry.dispatch(now);
    verdict
}

fn record(
    context: &Context,
    service: &Service,
    result: &Result<ServiceResponse, RequestError>,
    latency: Duration,
) {
    let good = result.is_ok() && latency <= service.objective_latency;
    if let Some(entry) = context.services.entries.lock().get_mut(&service.name) {
        entry.burn.count(good, latency, context.now_unix_ms());
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
