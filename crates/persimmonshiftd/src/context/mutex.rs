use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mutex without lock poisoning: its value stays usable after a panic of a thread that held it.
///
/// It must be held only for short operations.
#[derive(Debug, Default)]
pub(crate) struct NonPoisonMutex<T>(Mutex<T>);

impl<T> NonPoisonMutex<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T: Clone> NonPoisonMutex<T> {
    /// Returns a clone of the value.
    pub(crate) fn get(&self) -> T {
        self.lock().clone()
    }
}
