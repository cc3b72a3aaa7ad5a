//! Requests to latency-critical services, forwarded to their endpoints.

use super::error::ApiError;
use crate::{
    context::Context,
    message::{Header, ServiceRequest, ServiceResponse},
    services::{is_end_to_end, Services},
};
use persimmon_wire::api::{HEADER_DEADLINE_MS, HEADER_REQUEST_ID, HEADER_REQUEST_KEY};
use rocket::{
    data::{Data, ToByteUnit},
    http::{Method, Status},
    response::Responder,
    route::{Handler, Outcome},
    Request, Response, Route,
};
use std::{io::Cursor, sync::Arc, time::Duration};

/// Ranks these routes after all others.
const ROUTE_RANK: isize = 20;
/// Response header that names the daemon which received the request.
const MEMBER_HEADER: &str = "x-persimmon-member";

/// Handles `/svc/SERVICE/PATH` for every method.
#[derive(Clone)]
struct ServiceHandler;

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let result = serve(request, data).await;
        let response = match result {
            Ok(response) => Ok(response),
            Err(error) => error.respond_to(request),
        };
        match response {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}

async fn serve<'r>(request: &'r Request<'_>, data: Data<'r>) -> Result<Response<'r>, ApiError> {
    let internal = |text: &str| {
        ApiError::new(
            Status::InternalServerError,
            "request",
            "daemon",
            "internal",
            text,
        )
    };
    let context = request
        .rocket()
        .state::<Arc<Context>>()
        .ok_or_else(|| internal("no state"))?;
    let (service, path) = parse_target(request);
    let body = read_body(context, &service, data).await?;
    let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
    let timeout = parse_timeout(header(HEADER_DEADLINE_MS))?;
    let request_id =
        header(HEADER_REQUEST_ID).unwrap_or_else(|| context.services.generate_request_id(context));
    let forwarded = request
        .headers()
        .iter()
        .filter(|header| is_end_to_end(header.name().as_str()));
    let headers = forwarded
        .map(|header| Header {
            name: header.name().as_str().to_owned(),
            value: header.value().as_bytes().to_vec(),
        })
        .collect();
    let method = request.method().as_str().to_owned();
    let service_request = ServiceRequest {
        service,
        method,
        path,
        headers,
        body,
        request_id: request_id.clone(),
    };
    let response = Services::serve(
        context,
        service_request,
        header(HEADER_REQUEST_KEY),
        timeout,
    )
    .await?;
    Ok(build_response(
        response,
        request_id,
        &context.settings.member_id,
    ))
}

/// Returns the service's name, and the path and query after it.
fn parse_target(request: &Request<'_>) -> (String, String) {
    let uri = request.uri().to_string();
    let rest = uri.strip_prefix("/svc/").unwrap_or_default();
    let split = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(split);
    let slash = if path.starts_with('/') { "" } else { "/" };
    (service.to_owned(), format!("{slash}{path}"))
}

async fn read_body(context: &Context, service: &str, data: Data<'_>) -> Result<Vec<u8>, ApiError> {
    let config = context.config.lock().config();
    // Requests to an unknown service are refused later, so no more than one byte of their body is
    // read.
    let limit = config
        .try_find_service(service)
        .map_or(0, |service| service.body_max_bytes);
    let invalid = |status, code: &str, text: &str| {
        ApiError::new(status, "request.body", "caller", code, text)
    };
    let body = data.open((limit + 1).bytes()).into_bytes().await;
    let body = body.map_err(|err| invalid(Status::BadRequest, "cut", &err.to_string()))?;
    if limit > 0 && body.len() as u64 > limit {
        let text = format!("the body is over {limit} bytes");
        return Err(invalid(Status::PayloadTooLarge, "body-too-large", &text));
    }
    Ok(body.into_inner())
}

fn parse_timeout(header: Option<String>) -> Result<Option<Duration>, ApiError> {
    let Some(text) = header else { return Ok(None) };
    let ms = text.parse::<u64>().ok().filter(|ms| *ms > 0);
    let ms = ms.ok_or_else(|| {
        let message = format!("{HEADER_DEADLINE_MS}: {text:?} is not a whole number of ms above 0");
        ApiError::new(
            Status::BadRequest,
            "request.header",
            "caller",
            "malformed",
            &message,
        )
    })?;
    Ok(Some(Duration::from_millis(ms)))
}

fn build_response<'r>(answer: ServiceResponse, request_id: String, member: &str) -> Response<'r> {
    let mut response = Response::build();
    response.status(Status::new(answer.status));
    for header in answer.headers {
        if let Ok(value) = String::from_utf8(header.value) {
            response.raw_header_adjoin(header.name, value);
        }
    }
    response.raw_header(HEADER_REQUEST_ID, request_id);
    response.raw_header(MEMBER_HEADER, member.to_owned());
    response.sized_body(answer.body.len(), Cursor::new(answer.body));
    response.finalize()
}

pub(crate) fn routes() -> Vec<Route> {
    let methods = [
        Method::Get,
        Method::Put,
        Method::Post,
        Method::Delete,
        Method::Options,
        Method::Head,
        Method::Patch,
    ];
    let route = |method| Route::ranked(ROUTE_RANK, method, "/svc/<path..>", ServiceHandler);
    methods.into_iter().map(route).collect()
}
