//! End-to-end tests of the workspace, in `tests/`; the library itself is empty.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]
