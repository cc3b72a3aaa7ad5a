//! Tests of calls between daemons.

mod authority;
