//! Request keys: they make a caller's own retry of a non-idempotent request safe.
//!
//! A key names the daemon process that issued it, and only that process runs a request with it. When
//! that process is gone, nobody can tell whether the request ran, and the answer says so.

use crate::message::KeyedResponse;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};
use tokio::sync::watch;

/// A key's parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ParsedKey {
    pub(crate) member: String,
    pub(crate) incarnation: u64,
    issued_ms: u64,
    number: u64,
}

impl ParsedKey {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        // A member's id may hold dots, so the numbers are taken from the end.
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

/// What is known of a key that was used.
type Outcome = watch::Receiver<Option<KeyedResponse>>;

/// How a use of a key goes on.
pub(crate) enum Use {
    /// It is the first: run the request and send its outcome.
    First(watch::Sender<Option<KeyedResponse>>),
    /// It was used before: wait for that outcome.
    Again(Outcome),
    /// It is too old, or was never issued.
    Refused(&'static str),
}

/// The keys that this process issued.
#[derive(Debug)]
pub(crate) struct Keys {
    member: String,
    incarnation: u64,
    started_at: Instant,
    ttl: Duration,
    last: u64,
    used: HashMap<u64, (Instant, Outcome)>,
}

impl Keys {
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

    pub(crate) fn is_own(&self, key: &ParsedKey) -> bool {
        key.member == self.member && key.incarnation == self.incarnation
    }

    pub(crate) fn take(&mut self, key: &ParsedKey, now: Instant) -> Use {
        if let Some((_, outcome)) = self.used.get(&key.number) {
            return Use::Again(outcome.clone());
        }
        if key.number == 0 || key.number > self.last {
            return Use::Refused("the key was never issued");
        }
        // Outcomes are kept longer than keys may be used, so a key in time that is not known here
        // was not used.
        let issued_at = self.started_at + Duration::from_millis(key.issued_ms);
        if now.saturating_duration_since(issued_at) > self.ttl {
            return Use::Refused("the key is too old, it may have been used");
        }
        let keep = self.ttl * 2;
        self.used
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < keep);
        let (sender, receiver) = watch::channel(None);
        self.used.insert(key.number, (now, receiver));
        Use::First(sender)
    }
}
