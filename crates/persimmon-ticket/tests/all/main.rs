//! Tests of tickets.

mod accept;
mod parse;
