use crate::{Account, Full, Key};
use bytes::Bytes;
use http_body_util::{BodyExt, Full as FullBody};
use hyper::{
    body::{Body, Incoming},
    http::request::Parts,
    Request, Response,
};
use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Longest wait of a complete request for its turn.
const TURN_WAIT_MAX: Duration = Duration::from_millis(500);

/// The answer to a request.
pub type Answer = Response<FullBody<Bytes>>;

/// Why a body can't be used.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is larger than allowed.
    #[error("the body is larger than {bytes_max} bytes")]
    TooLarge {
        /// The largest size allowed.
        bytes_max: usize,
    },
    /// There is no room for it.
    #[error(transparent)]
    Full(#[from] Full),
    /// It did not arrive in time, or the connection broke.
    #[error("read the body: {0}")]
    Broken(String),
}

/// The account of a server, and how to close its connections.
pub(crate) struct Shared {
    pub(crate) account: RefCell<Account>,
    /// A turn for each request that may be in progress. Each connection asks for one turn at a time,
    /// and they are given in the order in which they were asked for.
    pub(crate) turns: Arc<Semaphore>,
    pub(crate) closers: RefCell<HashMap<Key, Rc<Notify>>>,
}

impl Shared {
    /// Closes connections that the account has removed.
    pub(crate) fn close_all(&self, keys: impl IntoIterator<Item = Key>) {
        for key in keys {
            if let Some(closer) = self.closers.borrow_mut().remove(&key) {
                log::info!("event=intake.close reason=\"others need its room\"");
                closer.notify_one();
            }
        }
    }
}

/// Ends the request in the account when it is dropped.
struct InProgress {
    shared: Rc<Shared>,
    key: Key,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut account = self.shared.account.borrow_mut();
        account.end(self.key, Instant::now());
    }
}

/// A request and its share of the account, which it holds until it is dropped.
pub struct Call {
    /// Method, target and headers.
    pub head: Parts,
    body: Incoming,
    /// Longest pause between two pieces of the body.
    pause_max: Duration,
    request: InProgress,
    /// Given back after the request has ended in the account.
    turn: Option<OwnedSemaphorePermit>,
}

impl Call {
    pub(crate) fn new(
        request: Request<Incoming>,
        shared: Rc<Shared>,
        key: Key,
        pause_max: Duration,
    ) -> Self {
        let (head, body) = request.into_parts();
        Self {
            head,
            body,
            pause_max,
            request: InProgress { shared, key },
            turn: None,
        }
    }

    /// Reads the body, as far as there is room for it.
    pub async fn body(&mut self, bytes_max: usize) -> Result<Vec<u8>, BodyError> {
        let too_large = || BodyError::TooLarge { bytes_max };
        let announced = self.body.size_hint().exact();
        if announced.is_some_and(|it| it > bytes_max as u64) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        loop {
            let frame = tokio::time::timeout(self.pause_max, self.body.frame()).await;
            let frame = frame.map_err(|_| BodyError::Broken("no more in time".to_owned()))?;
            let Some(frame) = frame else {
                let is_whole = announced.is_none_or(|it| it == body.len() as u64);
                let cut = || BodyError::Broken("the connection was closed".to_owned());
                return is_whole.then_some(body).ok_or_else(cut);
            };
            let frame = frame.map_err(|err| BodyError::Broken(err.to_string()))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let length = body.len() + data.len();
            if length > bytes_max {
                return Err(too_large());
            }
            if length > body.capacity() {
                let capacity = (2 * body.capacity()).clamp(length, bytes_max);
                self.hold(capacity - body.capacity())?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(data);
        }
    }

    /// Returns whether the whole body has been read.
    pub fn is_read(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Waits for the request's turn, which must succeed before it is carried out. Until then the
    /// connection may be closed for others.
    pub async fn begin(&mut self) -> Result<(), Full> {
        let turns = Arc::clone(&self.request.shared.turns);
        let turn = tokio::time::timeout(TURN_WAIT_MAX, turns.acquire_owned()).await;
        self.turn = turn.ok().and_then(Result::ok);
        let begun = match self.turn {
            Some(_) => {
                let mut account = self.request.shared.account.borrow_mut();
                account.begin(self.request.key)
            }
            None => Err(Full),
        };
        begun.inspect_err(|err| self.log_refusal(*err))
    }

    fn log_refusal(&self, err: Full) {
        let path = self.head.uri.path();
        log::info!("event=intake.refuse path={path} reason=\"{err}\"");
    }

    fn hold(&self, bytes: usize) -> Result<(), Full> {
        let InProgress { shared, key } = &self.request;
        let held = shared.account.borrow_mut().hold(*key, bytes);
        let closed = held.inspect_err(|err| self.log_refusal(*err))?;
        shared.close_all(closed);
        Ok(())
    }
}
