//! Tests of what the other crates share.

mod clock;
mod step;
