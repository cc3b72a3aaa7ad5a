//! Request keys, which let a caller safely retry a non-idempotent request.
//!
//! A key names the daemon process that issued it, and only that process runs a request with it.
//! Once that process is gone, it can't be known whether the request ran, and the response says so.

use crate::message::KeyedResponse;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// The parts of a request key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ParsedKey {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
    issued_ms: u64,
    number: u64,
}

impl ParsedKey {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        // A member id may contain dots, so the numbers are split off from the end.
        let mut parts = text.rsplitn(4, '.');
        let number = parts.next()?.parse().ok()?;
        let issued_ms = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        Some(Self {
            member: parts.next()?.to_owned(),
            incarnation,
            issued_ms,
            number,
        })
    }
}

/// Receives the outcome of the request that first used a key; `None` while it runs.
type OutcomeReceiver = watch::Receiver<Option<KeyedResponse>>;

/// How a request with a key is handled.
pub(crate) enum KeyUse {
    /// The first use: run the request and send its outcome.
    First(watch::Sender<Option<KeyedResponse>>),
    /// The key was used before: wait for the outcome of that use.
    Repeated(OutcomeReceiver),
    /// The key has expired or was never issued.
    Refused(&'static str),
}

/// The request keys that this process issued, with the outcomes of those used.
#[derive(Debug)]
pub(crate) struct RequestKeys {
    member: String,
    incarnation: u64,
    started_at: Instant,
    ttl: Duration,
    /// The number of the newest key.
    last: u64,
    used: HashMap<u64, (Instant, OutcomeReceiver)>,
}

impl RequestKeys {
    pub(crate) fn new(member: &str, incarnation: u64, started_at: Instant, ttl: Duration) -> Self {
        let member = member.to_owned();
        Self {
            member,
            incarnation,
            started_at,
            ttl,
            last: 0,
            used: HashMap::new(),
        }
    }

    pub(crate) fn issue(&mut self, now: Instant) -> String {
        self.last += 1;
        let issued_ms = now.saturating_duration_since(self.started_at).as_millis();
        format!(
            "{}.{}.{issued_ms}.{}",
            self.member, self.incarnation, self.last
        )
    }

    pub(crate) fn is_issued_here(&self, key: &ParsedKey) -> bool {
        key.member == self.member && key.incarnation == self.incarnation
    }

    pub(crate) fn claim(&mut self, key: &ParsedKey, now: Instant) -> KeyUse {
        if let Some((_, outcome)) = self.used.get(&key.number) {
            return KeyUse::Repeated(outcome.clone());
        }
        if key.number == 0 || key.number > self.last {
            return KeyUse::Refused("the key was never issued");
        }
        // Outcomes are kept for longer than keys are valid, so a valid key without an outcome has
        // not been used.
        let issued_at = self.started_at + Duration::from_millis(key.issued_ms);
        if now.saturating_duration_since(issued_at) > self.ttl {
            return KeyUse::Refused("the key is too old, it may have been used");
        }
        let retention = self.ttl * 2;
        self.used
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < retention);
        let (sender, receiver) = watch::channel(None);
        self.used.insert(key.number, (now, receiver));
        KeyUse::First(sender)
    }
}
