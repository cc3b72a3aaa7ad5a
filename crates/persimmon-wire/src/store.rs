//! The platform's key-value store.
//!
//! | call | body or query | answer |
//! | --- | --- | --- |
//! | `GET /v1/kv` | `key` | [`Entry`], or 404 |
//! | `GET /v1/range` | `prefix` | [`RangeResponse`] |
//! | `POST /v1/cas` | [`CasRequest`] | [`CasResponse`], or 409 with [`CasResponse`] naming the current revision |
//! | `POST /v1/lease` | [`GrantRequest`] | [`Lease`] |
//! | `POST /v1/lease/renew` | [`Lease`] | [`Lease`], or 404 |
//! | `POST /v1/lease/revoke` | [`Lease`] | [`Lease`] |
//! | `GET /v1/watch` | `prefix`, `after`, `wait_ms` | [`RangeResponse`], or 410 when `after` is too old |
//!
//! 429 means over the rate limit and 503 down; neither had an effect.
use serde::{Deserialize, Serialize};

/// The largest value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; `None` in a watch means that the key was removed.
    pub value: Option<String>,
    /// The store's revision at the last change of the key.
    pub revision: u64,
}

/// Several entries and the revision at which they were read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse {
    /// The entries, by key.
    pub entries: Vec<Entry>,
    /// The store's revision.
    pub revision: u64,
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasRequest {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 means absent.
    pub expected_revision: u64,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
    /// A lease with which the key ends.
    pub lease: Option<u64>,
}

/// The outcome of a [`CasRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasResponse {
    /// The key's revision now; 0 means absent.
    pub revision: u64,
}

/// Asks for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// How long it lasts without renewal.
    pub ttl_ms: u64,
}

/// Names a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    pub lease: u64,
}
