use persimmon_wire::api::{ErrorBody, RunStatus, HEADER_RAN};
use rocket::{
    catch, catchers,
    http::{ContentType, Status},
    response::Responder,
    Catcher, Request, Response,
};
use std::io::Cursor;

/// An error response: a status and a typed JSON body.
#[derive(Debug)]
pub(crate) struct ApiError {
    pub(crate) status: Status,
    pub(crate) body: Box<ErrorBody>,
}

impl ApiError {
    /// An error for a request that was not run.
    pub(crate) fn new(status: Status, step: &str, peer: &str, code: &str, message: &str) -> Self {
        Self {
            status,
            body: Box::new(ErrorBody::not_run(code, step, peer, message)),
        }
    }

    /// Marks the error as one of a request that may have run.
    pub(crate) fn unknown(mut self) -> Self {
        self.body.ran = RunStatus::Unknown;
        self
    }
}

/// Derives the status from the body's code.
impl From<ErrorBody> for ApiError {
    fn from(body: ErrorBody) -> Self {
        let status = match body.code.as_str() {
            "unknown" | "unknown-service" | "unknown-class" => Status::NotFound,
            "body-too-large" => Status::PayloadTooLarge,
            "bad-key" => Status::BadRequest,
            "can-never-run" | "key-reused" => Status::UnprocessableEntity,
            "ended" => Status::Conflict,
            _ => match body.ran {
                RunStatus::NotRun => Status::ServiceUnavailable,
                RunStatus::Unknown => Status::BadGateway,
            },
        };
        Self {
            status,
            body: Box::new(body),
        }
    }
}

impl<'r> Responder<'r, 'static> for ApiError {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let text = serde_json::to_vec(&self.body).unwrap_or_default();
        let mut response = Response::build();
        response
            .status(self.status)
            .header(ContentType::JSON)
            .raw_header(HEADER_RAN, self.body.ran.as_str())
            .sized_body(text.len(), Cursor::new(text));
        if let Some(retry_after_ms) = self.body.retry_after_ms {
            response.raw_header("retry-after", retry_after_ms.div_ceil(1_000).to_string());
        }
        response.ok()
    }
}

/// Turns errors of the framework, for which no handler ran, into typed ones.
#[catch(default)]
fn default_catcher(status: Status, request: &Request<'_>) -> ApiError {
    let step = format!("{} {}", request.method(), request.uri().path());
    ApiError::new(status, &step, "daemon", "http", status.reason_lossy())
}

pub(crate) fn catchers() -> Vec<Catcher> {
    catchers![default_catcher]
}
