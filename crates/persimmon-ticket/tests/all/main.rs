//! Tests of parsing and accepting tickets.

mod accept;
mod earlier_attempt;
mod parse;
