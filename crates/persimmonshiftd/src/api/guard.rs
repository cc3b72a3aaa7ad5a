use crate::context::Context;
use rocket::{
    http::Status,
    request::{FromRequest, Outcome},
    Request,
};
use std::sync::Arc;
use subtle::ConstantTimeEq;

/// Request guard: proves that a request carried the operators' token.
pub(crate) struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(context) = request.rocket().state::<Arc<Context>>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let given = request
            .headers()
            .get_one("authorization")
            .unwrap_or_default();
        let given = given.strip_prefix("Bearer ").unwrap_or_default();
        // Compared in constant time, so that the response time reveals nothing about the token.
        let matches = given.as_bytes().ct_eq(context.settings.token.0.as_bytes());
        if bool::from(matches) {
            return Outcome::Success(Self);
        }
        Outcome::Error((Status::Unauthorized, ()))
    }
}
