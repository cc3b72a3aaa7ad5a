//! Configuration tickets: applying, checking and listing them.

use super::{error::ApiError, guard::Operator};
use crate::{
    config::apply::{self, Error},
    context::Context,
};
use persimmon_ticket::{parse, parse::TICKET_MAX_BYTES, Ticket};
use persimmon_wire::api::{TicketAnswer, TicketList, TicketView};
use rocket::{
    data::{Data, ToByteUnit},
    get,
    http::Status,
    post, routes,
    serde::json::Json,
    Route, State,
};
use std::sync::Arc;

const STEP: &str = "ticket.apply";

#[post("/v1/tickets", data = "<data>")]
async fn post_ticket(
    _operator: Operator,
    context: &State<Arc<Context>>,
    data: Data<'_>,
) -> Result<Json<TicketAnswer>, ApiError> {
    let ticket = read_ticket(data).await?;
    if context.is_draining() {
        let member = context.settings.member_id.as_str();
        let status = Status::ServiceUnavailable;
        return Err(ApiError::new(
            status,
            STEP,
            member,
            "draining",
            "apply it elsewhere",
        ));
    }
    // The commit continues even if the operator disconnects.
    let (task_context, number) = (Arc::clone(context), ticket.number);
    let task = tokio::spawn(async move { apply::apply(&task_context, &ticket).await });
    let result = task.await.unwrap_or_else(|err| {
        Err(Error::Unsettled {
            number,
            reason: err.to_string(),
        })
    });
    result.map(Json).map_err(|err| apply_error(&err))
}

#[post("/v1/tickets/check", data = "<data>")]
async fn check_ticket(
    _operator: Operator,
    context: &State<Arc<Context>>,
    data: Data<'_>,
) -> Result<Json<TicketAnswer>, ApiError> {
    let ticket = read_ticket(data).await?;
    let mut config = (*context.config.lock().config()).clone();
    let outcome = config.accept(&ticket).map_err(|err| {
        ApiError::new(
            Status::UnprocessableEntity,
            "ticket.check",
            "ticket",
            "refused",
            &err.to_string(),
        )
    })?;
    Ok(Json(TicketAnswer {
        number: ticket.number,
        digest: persimmon_ticket::accept::digest(&ticket),
        repeated: outcome == persimmon_ticket::accept::Outcome::Repeated,
        in_force: false,
        waiting_for: Vec::new(),
    }))
}

#[get("/v1/tickets")]
fn list_tickets(_operator: Operator, context: &State<Arc<Context>>) -> Json<TicketList> {
    let active = context.config.lock();
    let recent = active.record().recent_tickets().to_vec();
    Json(TicketList {
        in_force: active.config().snapshot(),
        recent,
    })
}

#[get("/v1/tickets/<number>")]
fn show_ticket(
    _operator: Operator,
    context: &State<Arc<Context>>,
    number: u64,
) -> Result<Json<TicketView>, ApiError> {
    let record = context.config.lock().record();
    let found = record
        .recent_tickets()
        .iter()
        .find(|view| view.ticket.number == number)
        .cloned();
    found.map(Json).ok_or_else(|| {
        let message = format!("ticket {number} is not among those kept since the last snapshot");
        ApiError::new(
            Status::NotFound,
            "ticket.show",
            "config",
            "unknown",
            &message,
        )
    })
}

async fn read_ticket(data: Data<'_>) -> Result<Ticket, ApiError> {
    let invalid = |code: &str, message: &str| {
        ApiError::new(
            Status::UnprocessableEntity,
            "ticket.parse",
            "ticket",
            code,
            message,
        )
    };
    let text = data
        .open((TICKET_MAX_BYTES + 1).bytes())
        .into_string()
        .await;
    let text = text.map_err(|err| invalid("unreadable", &err.to_string()))?;
    parse(&text).map_err(|err| invalid("malformed", &err.to_string()))
}

fn apply_error(err: &Error) -> ApiError {
    let message = err.to_string();
    match err {
        Error::Refused(_) => ApiError::new(Status::Conflict, STEP, "config", "refused", &message),
        Error::NotAccepted { .. } => {
            let mut error = ApiError::new(
                Status::ServiceUnavailable,
                STEP,
                "store",
                "not-accepted",
                &message,
            );
            error.body.retry_after_ms = Some(2_000);
            error
        }
        Error::Unsettled { .. } | Error::Folded { .. } => {
            ApiError::new(Status::BadGateway, STEP, "store", "unsettled", &message).unknown()
        }
    }
}

pub(crate) fn routes() -> Vec<Route> {
    routes![post_ticket, check_ticket, list_tickets, show_ticket]
}
