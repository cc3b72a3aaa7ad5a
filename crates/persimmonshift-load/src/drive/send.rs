use reqwest::{Client, Method};
use std::time::Duration;

/// Header that tells what is known of a request without an answer.
const HEADER_RAN: &str = "x-persimmon-ran";
/// Waited for beyond the deadline before the daemon counts as silent.
const GRACE: Duration = Duration::from_secs(5);

/// A request to be sent at a set time.
#[derive(Debug, Clone)]
pub(crate) struct Planned {
    pub(crate) id: String,
    pub(crate) at: Duration,
    pub(crate) daemon: String,
    pub(crate) service: String,
    pub(crate) post: bool,
    pub(crate) deadline: Duration,
}

/// What came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Seen {
    /// The request's own whole answer.
    Answered,
    /// An answer that is not its own, or not whole.
    Wrong,
    /// The daemon says that it did not run.
    NotRun,
    /// The daemon says that it may have run.
    Unknown,
    /// No connection to the daemon was made.
    NotSent,
    /// The connection to the daemon broke.
    Broken,
}

pub(crate) async fn send(client: &Client, planned: &Planned) -> Seen {
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
        .timeout(planned.deadline + GRACE);
    if planned.post {
        request = request.body(body(&planned.id));
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(err) if err.is_connect() => return Seen::NotSent,
        Err(_) => return Seen::Broken,
    };
    if let Some(ran) = response.headers().get(HEADER_RAN) {
        return if ran.as_bytes() == b"not-run" {
            Seen::NotRun
        } else {
            Seen::Unknown
        };
    }
    if !response.status().is_success() {
        return Seen::Wrong;
    }
    match response.json::<serde_json::Value>().await {
        Ok(answer) if is_own(&answer, planned) => Seen::Answered,
        Ok(_) => Seen::Wrong,
        Err(_) => Seen::Broken,
    }
}

fn body(id: &str) -> String {
    format!("booking of {id}")
}

fn is_own(answer: &serde_json::Value, planned: &Planned) -> bool {
    let wanted = if planned.post {
        body(&planned.id)
    } else {
        String::new()
    };
    answer["request_id"] == planned.id.as_str() && answer["body"] == wanted.as_str()
}
