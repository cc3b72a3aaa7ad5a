//! Requests to latency-critical services.

mod burn;
mod keys;
mod run;
mod send;
mod table;

pub(crate) use burn::Burn;
pub(crate) use keys::Keys;
pub(crate) use send::is_end_to_end;
pub(crate) use table::{Clients, Services};
