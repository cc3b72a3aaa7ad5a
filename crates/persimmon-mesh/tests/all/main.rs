//! Tests of calls between daemons.

mod authority;
mod call;
mod lossy_relay;
mod restarts;
