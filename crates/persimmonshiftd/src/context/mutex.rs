use std::sync::{Mutex, MutexGuard, PoisonError};

/// A mutex whose value stays usable after a panic elsewhere; held only for short steps.
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
    pub(crate) fn get(&self) -> T {
        self.lock().clone()
    }
}
