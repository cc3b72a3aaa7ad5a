//! Tests of charts.

mod machine;
mod parse;
