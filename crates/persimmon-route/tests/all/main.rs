//! Tests of request routing.

mod budget;
mod router;
mod share;
mod truth;
