//! Holds no code: its tests start the programs of the workspace as plain processes on loopback.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
