//! A single attempt to send a request to an endpoint.

use super::Services;
use crate::message::{Header, ServiceRequest, ServiceResponse};
use persimmon_route::Outcome;
use persimmon_wire::api::HEADER_REQUEST_ID;
use reqwest::{
    header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING},
    Method, Response,
};
use std::time::Duration;

/// Headers that are not forwarded: the hop-by-hop ones, which concern a single connection, and
/// `host`, which the HTTP library sets for each endpoint.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// Header of a runner's refusal, with the value `busy` or `leaving`.
const HEADER_RUNNER_REFUSED: &str = "x-runner-refused";

/// Whether a header is forwarded. `content-length` is not, since it is set anew for each hop.
pub(crate) fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop))
        && !name.eq_ignore_ascii_case("content-length")
}

/// Sends `request` to `address` and reads the whole response, within `timeout`.
pub(super) async fn send(
    services: &Services,
    address: &str,
    request: &ServiceRequest,
    idempotent: bool,
    body_max_bytes: u64,
    timeout: Duration,
) -> Result<ServiceResponse, Outcome> {
    let client = if idempotent {
        &services.client_pooled
    } else {
        &services.client_unpooled
    };
    let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::GET);
    let url = format!("http://{address}{}", request.path);
    let sent = client
        .request(method, url)
        .headers(forwarded_headers(request))
        .body(request.body.clone())
        .timeout(timeout)
        .send();
    let response = sent.await.map_err(|err| transport_outcome(&err))?;
    if let Some(refusal) = response.headers().get(HEADER_RUNNER_REFUSED) {
        return Err(Outcome::Refused {
            leaving: refusal.as_bytes() == b"leaving",
        });
    }
    read_response(response, body_max_bytes).await
}

fn forwarded_headers(request: &ServiceRequest) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for header in &request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    if let Ok(id) = HeaderValue::from_str(&request.request_id) {
        headers.insert(HEADER_REQUEST_ID, id);
    }
    headers
}

fn transport_outcome(err: &reqwest::Error) -> Outcome {
    if err.is_connect() {
        return Outcome::NotConnected;
    }
    if err.is_timeout() {
        return Outcome::TimedOut;
    }
    Outcome::Incomplete
}

/// Reads the whole response.
///
/// It counts as incomplete when it is truncated, longer than `body_max_bytes`, or has neither a
/// length nor chunked encoding, since truncation could then not be detected.
async fn read_response(
    mut response: Response,
    body_max_bytes: u64,
) -> Result<ServiceResponse, Outcome> {
    let has_length = response.headers().get(CONTENT_LENGTH).is_some();
    let chunked = response.headers().get(TRANSFER_ENCODING).is_some();
    let has_no_body = response.status() == reqwest::StatusCode::NO_CONTENT
        || response.status() == reqwest::StatusCode::NOT_MODIFIED;
    if !has_length && !chunked && !has_no_body {
        return Err(Outcome::Incomplete);
    }
    let status = response.status().as_u16();
    let forwarded = response
        .headers()
        .iter()
        .filter(|(name, _)| is_end_to_end(name.as_str()));
    let headers = forwarded
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect();
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|err| transport_outcome(&err))?
    {
        body.extend_from_slice(&chunk);
        if body.len() as u64 > body_max_bytes {
            return Err(Outcome::Incomplete);
        }
    }
    Ok(ServiceResponse {
        status,
        headers,
        body,
    })
}
