use std::{collections::BTreeMap, time::Instant};

/// What all connections of a server may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Open connections; at least 1.
    pub connections: usize,
    /// Bytes of request bodies.
    pub bytes: usize,
    /// Requests that are complete and not answered yet.
    pub in_progress: usize,
}

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest connections of callers.
const CONNECTIONS_MIN: usize = 16;
/// Fewest bytes of bodies: several of the largest.
const BYTES_MIN: usize = 2 << 20;

impl Limits {
    /// The share of callers in an instance with this memory, in bytes, and this many descriptors: an
    /// eighth of the memory and a quarter of the connections, half of them with a request in progress.
    /// The rest is for the scheduler, its peers, the store and the runners.
    pub fn of_instance(memory_bytes: u64, descriptors: usize) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let connections = (sockets / 4).max(CONNECTIONS_MIN);
        let bytes = usize::try_from(memory_bytes / 8).unwrap_or(usize::MAX);
        Self {
            connections,
            bytes: bytes.max(BYTES_MIN),
            in_progress: connections / 2,
        }
    }
}

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u64);

/// There is no room, and nothing that may be closed for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("too many requests at once")]
pub struct Full;

#[derive(Debug)]
struct Entry {
    /// When the wait for its request began.
    since: Instant,
    /// Bytes that its request holds.
    bytes: usize,
    in_progress: bool,
}

/// Decides which connections and requests there is room for. An unfinished request gives way to
/// others, the largest and then the oldest first, so that a small one always gets in; one that is
/// complete is not interrupted.
#[derive(Debug)]
pub struct Account {
    limits: Limits,
    entries: BTreeMap<Key, Entry>,
    bytes: usize,
    in_progress: usize,
    last_key: u64,
}

impl Account {
    /// Creates an account without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            bytes: 0,
            in_progress: 0,
            last_key: 0,
        }
    }

    /// Adds a connection that was opened at `now`. Returns it with the one to close for it, which is
    /// removed.
    pub fn open(&mut self, now: Instant) -> Result<(Key, Option<Key>), Full> {
        let mut closed = None;
        if self.entries.len() >= self.limits.connections {
            let victim = self.victim().ok_or(Full)?;
            self.close(victim);
            closed = Some(victim);
        }
        self.last_key += 1;
        let key = Key(self.last_key);
        let entry = Entry {
            since: now,
            bytes: 0,
            in_progress: false,
        };
        self.entries.insert(key, entry);
        Ok((key, closed))
    }

    /// Adds bytes to the unfinished request of a connection. Returns the connections to close for
    /// them, which are removed. Fails if it is the first to give way itself, or is closed.
    pub fn hold(&mut self, key: Key, bytes: usize) -> Result<Vec<Key>, Full> {
        let entry = self.entries.get_mut(&key).ok_or(Full)?;
        entry.bytes += bytes;
        self.bytes += bytes;
        let mut closed = Vec::new();
        while self.bytes > self.limits.bytes {
            match self.victim() {
                Some(victim) if victim != key => {
                    self.close(victim);
                    closed.push(victim);
                }
                _ => {
                    self.release(key);
                    return Err(Full);
                }
            }
        }
        Ok(closed)
    }

    /// Begins to answer the complete request of a connection.
    pub fn begin(&mut self, key: Key) -> Result<(), Full> {
        if self.in_progress >= self.limits.in_progress {
            return Err(Full);
        }
        let entry = self.entries.get_mut(&key).ok_or(Full)?;
        if !entry.in_progress {
            entry.in_progress = true;
            self.in_progress += 1;
        }
        Ok(())
    }

    /// Ends the request of a connection, which waits for the next one from `now` on.
    pub fn end(&mut self, key: Key, now: Instant) {
        self.release(key);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.since = now;
            if std::mem::take(&mut entry.in_progress) {
                self.in_progress -= 1;
            }
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, key: Key) {
        if let Some(entry) = self.entries.remove(&key) {
            self.bytes -= entry.bytes;
            self.in_progress -= usize::from(entry.in_progress);
        }
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Bytes that all requests hold.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of requests that are being answered.
    pub fn in_progress(&self) -> usize {
        self.in_progress
    }

    fn release(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(&key) {
            self.bytes -= std::mem::take(&mut entry.bytes);
        }
    }

    /// The largest of the unfinished requests, the oldest if several are.
    fn victim(&self) -> Option<Key> {
        let unfinished = self.entries.iter().filter(|(_, entry)| !entry.in_progress);
        let victim = unfinished
            .max_by_key(|(key, entry)| (entry.bytes, std::cmp::Reverse((entry.since, **key))));
        victim.map(|(&key, _)| key)
    }
}
