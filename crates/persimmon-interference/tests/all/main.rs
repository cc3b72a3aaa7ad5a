//! Tests of the interference model.

mod model;
