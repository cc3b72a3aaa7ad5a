//! Tests of the division of runner calls among relays.

mod assign;
mod exchange;
mod simulation;
mod support;
