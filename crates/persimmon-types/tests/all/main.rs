//! Tests of the shared types.

mod clock;
mod step;
