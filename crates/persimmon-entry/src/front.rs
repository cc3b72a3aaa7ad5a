use crate::{platform::Platform, state::Shared, submit};
use persimmon_sched::{JobSpec, Phase};
use std::{
    rc::Rc,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::sync::{mpsc, oneshot};

/// Calls that may wait for the thread that decides.
const CALLS_MAX: usize = 1_024;
/// When a caller should come back that met a full ring.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The host that it names.
    pub host: String,
    /// Its path.
    pub path: String,
    /// How long the caller waits for the answer.
    pub patience: Option<Duration>,
}

/// A job was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// It was not known before.
    pub is_new: bool,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The job is known and will end.
    Known,
    /// No such job is known, and none of this name will run.
    Unknown,
}

/// Why a request was not carried out.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No queue has this host and path.
    #[error("no such queue")]
    NoQueue,
    /// The request can't be understood.
    #[error("{reason}")]
    Invalid {
        /// Why not.
        reason: String,
    },
    /// Nothing was done, and nothing will be.
    #[error("not run: {reason}")]
    NotRun {
        /// When to come back.
        retry_after: Duration,
        /// Why.
        reason: &'static str,
    },
    /// It may have been carried out.
    #[error("it is not known whether the request was carried out")]
    Unknown,
}

type Reply<T> = oneshot::Sender<Result<T, Rejection>>;

/// A request on its way to the thread that decides.
enum Call {
    Submit(Request, Box<JobSpec>, Reply<Accepted>),
    Cancel(Request, Reply<Cancelled>),
    Phase(Request, Reply<Option<Phase>>),
    Waiting(Request, Reply<u64>),
}

/// What a server's threads see of whether callers should come.
#[derive(Clone, Default)]
pub(crate) struct Signs {
    is_ready: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl Signs {
    pub(crate) fn show(&self, is_ready: bool, is_draining: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }
}

/// The handle by which a server's threads reach the thread that decides.
#[derive(Clone)]
pub struct Front {
    calls: mpsc::Sender<Call>,
    signs: Signs,
}

/// The other end of a [`Front`].
pub struct Calls {
    calls: mpsc::Receiver<Call>,
    signs: Signs,
}

/// Joins a server's threads with the thread that decides.
pub fn front() -> (Front, Calls) {
    let (sender, receiver) = mpsc::channel(CALLS_MAX);
    let signs = Signs::default();
    let front = Front {
        calls: sender,
        signs: signs.clone(),
    };
    let calls = Calls {
        calls: receiver,
        signs,
    };
    (front, calls)
}

impl Front {
    /// Submits a job. Its id, queue and time are taken from the request.
    pub async fn submit(&self, request: Request, spec: JobSpec) -> Result<Accepted, Rejection> {
        self.call(|reply| Call::Submit(request, Box::new(spec), reply))
            .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, request: Request) -> Result<Cancelled, Rejection> {
        self.call(|reply| Call::Cancel(request, reply)).await
    }

    /// A job's phase; `None` for a job that is not known.
    pub async fn phase(&self, request: Request) -> Result<Option<Phase>, Rejection> {
        self.call(|reply| Call::Phase(request, reply)).await
    }

    /// The number of a queue's jobs that wait for their first start.
    pub async fn waiting(&self, request: Request) -> Result<u64, Rejection> {
        self.call(|reply| Call::Waiting(request, reply)).await
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.signs.is_ready.load(Ordering::Relaxed)
    }

    /// Tells whether the process is about to stop.
    pub fn is_draining(&self) -> bool {
        self.signs.is_draining.load(Ordering::Relaxed)
    }

    async fn call<T>(&self, make: impl FnOnce(Reply<T>) -> Call) -> Result<T, Rejection> {
        let (reply, answer) = oneshot::channel();
        let full = Rejection::NotRun {
            retry_after: RETRY_AFTER_FULL,
            reason: "too many requests at once",
        };
        self.calls.try_send(make(reply)).map_err(|_| full)?;
        answer.await.unwrap_or(Err(Rejection::Unknown))
    }
}

impl Calls {
    /// Serves calls, for good.
    pub(crate) async fn serve<P: Platform>(&mut self, shared: &Rc<Shared<P>>) {
        while let Some(call) = self.calls.recv().await {
            tokio::task::spawn_local(answer(Rc::clone(shared), call));
        }
    }

    /// Where the server's threads see whether callers should come.
    pub(crate) fn signs(&self) -> Signs {
        self.signs.clone()
    }
}

async fn answer<P: Platform>(shared: Rc<Shared<P>>, call: Call) {
    // A caller that has gone leaves nobody to send an answer to.
    match call {
        Call::Submit(request, spec, reply) => {
            let outcome = submit::submit(&shared, &request, *spec).await;
            tell("job.submit", &request, &outcome);
            let _ = reply.send(outcome);
        }
        Call::Cancel(request, reply) => {
            let outcome = submit::cancel(&shared, &request).await;
            tell("job.cancel", &request, &outcome);
            let _ = reply.send(outcome);
        }
        Call::Phase(request, reply) => {
            let outcome = submit::phase(&shared, &request).await;
            if outcome.is_err() {
                tell("job.phase", &request, &outcome);
            }
            let _ = reply.send(outcome);
        }
        Call::Waiting(request, reply) => {
            let _ = reply.send(submit::waiting(&shared, &request).await);
        }
    }
}

fn tell<T: std::fmt::Debug>(event: &str, request: &Request, outcome: &Result<T, Rejection>) {
    let path = &request.path;
    match outcome {
        Ok(it) => log::info!("event={event} path={path} outcome={it:?}"),
        Err(err) => log::info!("event={event} path={path} outcome=rejected reason=\"{err}\""),
    }
}
