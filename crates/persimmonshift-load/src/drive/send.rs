use reqwest::{Client, Method};
use std::time::Duration;

/// Response header stating whether a request that failed may have been executed.
const HEADER_RAN: &str = "x-persimmon-ran";
/// Time past the deadline after which the daemon is considered unresponsive.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

/// A request with its predetermined send time.
#[derive(Debug, Clone)]
pub(crate) struct PlannedRequest {
    pub(crate) id: String,
    /// Intended send time, as an offset from the start of the run.
    pub(crate) offset: Duration,
    pub(crate) daemon: String,
    pub(crate) service: String,
    pub(crate) post: bool,
    pub(crate) deadline: Duration,
}

/// The outcome of a request as observed by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestOutcome {
    /// The complete response to this request arrived.
    Answered,
    /// The response does not match the request or has an unexpected status.
    Wrong,
    /// The daemon reports that the request was not executed.
    NotRun,
    /// The daemon reports that the request may have been executed.
    Unknown,
    /// The connection to the daemon could not be established.
    NotSent,
    /// The connection failed after the request was sent, the request timed out, or the response was
    /// incomplete.
    Broken,
}

pub(crate) async fn send(client: &Client, planned: &PlannedRequest) -> RequestOutcome {
    let method = if planned.post {
        Method::POST
    } else {
        Method::GET
    };
    let url = format!("http://{}/svc/{}/book", planned.daemon, planned.service);
    let mut request = client
        .request(method, url)
        .header("x-request-id", &planned.id)
        .header("x-deadline-ms", planned.deadline.as_millis().to_string())
        .timeout(planned.deadline + RESPONSE_GRACE);
    if planned.post {
        request = request.body(request_body(&planned.id));
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(err) if err.is_connect() => return RequestOutcome::NotSent,
        Err(_) => return RequestOutcome::Broken,
    };
    if let Some(ran) = response.headers().get(HEADER_RAN) {
        return if ran.as_bytes() == b"not-run" {
            RequestOutcome::NotRun
        } else {
            RequestOutcome::Unknown
        };
    }
    if !response.status().is_success() {
        return RequestOutcome::Wrong;
    }
    match response.json::<serde_json::Value>().await {
        Ok(answer) if matches_request(&answer, planned) => RequestOutcome::Answered,
        Ok(_) => RequestOutcome::Wrong,
        Err(_) => RequestOutcome::Broken,
    }
}

fn request_body(id: &str) -> String {
    format!("booking of {id}")
}

fn matches_request(answer: &serde_json::Value, planned: &PlannedRequest) -> bool {
    let expected_body = if planned.post {
        request_body(&planned.id)
    } else {
        String::new()
    };
    answer["request_id"] == planned.id.as_str() && answer["body"] == expected_body.as_str()
}
