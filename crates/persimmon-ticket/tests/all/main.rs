//! Tests of parsing and accepting tickets.

mod accept;
mod parse;
