//! Tests of the division of runner calls among relays.

mod assign;
mod exchange;
mod owners;
mod restarts;
mod sessions;
mod simulation;
mod support;
