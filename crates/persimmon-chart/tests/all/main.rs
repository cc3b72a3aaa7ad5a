//! Tests of the parser, the interpreter and the documentation of charts.

mod docs;
mod machine;
mod parse;
