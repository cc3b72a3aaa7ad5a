//! The API of the platform's key-value store.
//!
//! | request | body or query | answer |
//! | --- | --- | --- |
//! | `GET /v1/kv` | `key` | [`Entry`], or 404 |
//! | `GET /v1/range` | `prefix` | [`RangeResponse`] |
//! | `POST /v1/cas` | [`CasRequest`] | [`CasResponse`], or 409 with the key's current revision |
//! | `POST /v1/lease` | [`GrantRequest`] | [`Lease`] |
//! | `POST /v1/lease/renew` | [`Lease`] | [`Lease`], or 404 |
//! | `POST /v1/lease/revoke` | [`Lease`] | [`Lease`] |
//! | `GET /v1/watch` | `prefix`, `after`, `wait_ms` | [`RangeResponse`], or 410 if compacted |
//!
//! Status 410 means that the store no longer keeps the changes after the revision `after`. Status
//! 429 means that the rate limit was exceeded, 503 that the store is down; in both cases the
//! request had no effect.
use serde::{Deserialize, Serialize};

/// The maximum size of a value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; `None` in the answer to a watch means that the key was removed.
    pub value: Option<String>,
    /// The store's revision at the last change to the key.
    pub revision: u64,
}

/// The answer to a range read or a watch: entries and the revision at which they were read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The entries, ordered by key.
    pub entries: Vec<Entry>,
    /// The store's revision at the time of the read.
    pub revision: u64,
}

/// A request for a compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasRequest {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 means that it must be absent.
    pub expected_revision: u64,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
    /// The lease to which the key is attached; the store removes the key when the lease ends.
    pub lease: Option<u64>,
}

/// The answer to a [`CasRequest`], whether it was applied (200) or refused (409).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasResponse {
    /// The current revision of the key; 0 means absent.
    pub revision: u64,
}

/// A request for a new lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The time after which the lease expires without renewal.
    pub ttl_ms: u64,
}

/// Identifies a lease, in requests and answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The number of the lease.
    pub lease: u64,
}
