//! Calls between daemons: one message and one answer over a QUIC stream, with mutual TLS.
//!
//! [`Mesh`] is client and server on one UDP socket, generic over the types of messages and answers.
//! The [`Error`] of a failed call tells whether the peer may have received the message.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod authority;
mod error;
mod mesh;
mod tls;

pub use authority::Authority;
pub use error::{Delivery, Error};
pub use mesh::{Handler, Mesh, Options};
pub use tls::{Credentials, SetupError, TLS_SERVER_NAME};
