use std::net::SocketAddr;

/// How far a failed call got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The peer has not received it.
    NotSent,
    /// The peer may have received it.
    Unknown,
}

/// A call to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: peer {peer}: {reason}")]
pub struct Error {
    /// The step, for example `mesh.connect`.
    pub step: &'static str,
    /// The peer.
    pub peer: SocketAddr,
    /// What went wrong.
    pub reason: String,
    /// Whether the peer can have received the message.
    pub delivery: Delivery,
}
