//! Tests of the decisions about connections.

mod account;
