//! Tests of request routing, endpoint ejection, retries and shares.

mod budget;
mod invariants;
mod router;
mod share;
