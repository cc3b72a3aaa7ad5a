//! Tests of the ledger and the choice of a worker.

mod health;
mod ledger;
mod place;
mod quota;
