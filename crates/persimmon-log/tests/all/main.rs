//! Tests of the budget and of the logger under floods.

mod budget;
mod logger;
