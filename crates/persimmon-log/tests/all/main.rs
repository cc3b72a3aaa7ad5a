//! Tests of the rate limiter, and of the logger under bursts of log lines.

mod logger;
mod rate_limit;
