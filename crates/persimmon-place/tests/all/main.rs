//! Tests of resource accounting, quotas, worker health and placement.

mod health;
mod ledger;
mod place;
mod quota;
