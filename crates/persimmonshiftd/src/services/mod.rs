//! Routing of requests to the endpoints of latency-critical services.

mod burn;
mod registry;
mod request;
mod request_keys;
mod send;

pub(crate) use burn::BurnCounts;
pub(crate) use registry::{EndpointClients, Services};
pub(crate) use request_keys::RequestKeys;
pub(crate) use send::is_end_to_end;
