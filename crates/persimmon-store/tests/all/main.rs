//! Tests of the client of the platform's key-value store.

mod http;
