//! Calls between daemons: one message and one answer over a QUIC stream, with mutual TLS.
//!
//! [`Mesh`] is both ends on one UDP socket. What a message means is its user's matter; here it is
//! any pair of serialisable types. A failed call tells whether the peer can have received it.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod authority;
mod call;
mod mesh;
mod tls;

pub use authority::Authority;
pub use call::{Delivery, Error};
pub use mesh::{Handler, Mesh, Options};
pub use tls::{Credentials, SetupError, TLS_SERVER_NAME};
