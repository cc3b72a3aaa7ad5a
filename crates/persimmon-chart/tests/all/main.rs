//! Tests of charts.

mod docs;
mod machine;
mod parse;
