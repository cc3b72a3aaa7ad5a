//! Tests of what is learned of interference.

mod pressure;
