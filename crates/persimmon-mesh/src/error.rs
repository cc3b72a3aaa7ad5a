use std::net::SocketAddr;

/// Whether the message of a failed call reached the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The message was not sent.
    NotSent,
    /// The peer may have received the message and acted on it.
    Unknown,
}

/// The error of a failed call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: peer {peer}: {reason}")]
pub struct Error {
    /// The step that failed, for example `mesh.connect`.
    pub step: &'static str,
    /// The address of the peer.
    pub peer: SocketAddr,
    /// The cause of the failure.
    pub reason: String,
    /// Whether the message may have reached the peer.
    pub delivery: Delivery,
}
