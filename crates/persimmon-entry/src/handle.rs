use crate::{platform::Platform, requests, state::Shared};
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

/// Calls that may be queued for the process's thread.
const CALLS_MAX: usize = 1_024;
/// Retry time given to callers for whose request there is no room.
const RETRY_AFTER_FULL: Duration = Duration::from_secs(1);

/// A request from a caller.
#[derive(Debug, Clone)]
pub struct Request {
    /// The host named in the request.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
}

/// The outcome of an accepted submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Whether the job was not known before.
    pub is_new: bool,
}

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// The job is known and will end.
    Known,
    /// The job is not known, and no job with this id will run.
    Unknown,
}

/// Why a request was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No queue matches the host and path.
    #[error("no such queue")]
    NoQueue,
    /// The request is invalid.
    #[error("{reason}")]
    Invalid {
        /// What is invalid.
        reason: String,
    },
    /// The request was not carried out and will not be.
    #[error("not run: {reason}")]
    NotRun {
        /// When the caller should retry.
        retry_after: Duration,
        /// Why the request was not carried out.
        reason: &'static str,
    },
    /// The request may have been carried out.
    #[error("it is not known whether the request was carried out")]
    Unknown,
}

impl Rejection {
    /// There is no room for the request now.
    pub fn too_many_requests() -> Self {
        Self::NotRun {
            retry_after: RETRY_AFTER_FULL,
            reason: "too many requests at once",
        }
    }
}

type ReplySender<T> = oneshot::Sender<Result<T, Rejection>>;

/// A request queued for the process's thread.
enum Call {
    Submit(Request, Box<JobSpec>, ReplySender<Accepted>),
    Cancel(Request, ReplySender<Cancelled>),
    Phase(Request, ReplySender<Option<Phase>>),
    Waiting(Request, ReplySender<u64>),
}

/// Status flags that are shared with a server's threads.
#[derive(Clone, Default)]
pub(crate) struct StatusFlags {
    is_ready: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl StatusFlags {
    pub(crate) fn set(&self, is_ready: bool, is_draining: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }
}

/// Handle through which a server's threads call the process's thread.
#[derive(Clone)]
pub struct Handle {
    calls: mpsc::Sender<Call>,
    status: StatusFlags,
}

/// Receiving end of a [`Handle`].
pub struct CallReceiver {
    calls: mpsc::Receiver<Call>,
    status: StatusFlags,
}

/// Creates a connected [`Handle`] and [`CallReceiver`].
pub fn call_channel() -> (Handle, CallReceiver) {
    let (sender, receiver) = mpsc::channel(CALLS_MAX);
    let status = StatusFlags::default();
    let handle = Handle {
        calls: sender,
        status: status.clone(),
    };
    let calls = CallReceiver {
        calls: receiver,
        status,
    };
    (handle, calls)
}

impl Handle {
    /// Submits a job. Its id, queue and submission time are taken from the request.
    pub async fn submit(&self, request: Request, spec: JobSpec) -> Result<Accepted, Rejection> {
        self.call(|reply| Call::Submit(request, Box::new(spec), reply))
            .await
    }

    /// Cancels a job.
    pub async fn cancel(&self, request: Request) -> Result<Cancelled, Rejection> {
        self.call(|reply| Call::Cancel(request, reply)).await
    }

    /// Returns the phase of a job; `None` if the job is not known.
    pub async fn phase(&self, request: Request) -> Result<Option<Phase>, Rejection> {
        self.call(|reply| Call::Phase(request, reply)).await
    }

    /// Returns the number of a queue's jobs that wait for their first start.
    pub async fn waiting(&self, request: Request) -> Result<u64, Rejection> {
        self.call(|reply| Call::Waiting(request, reply)).await
    }

    /// Returns whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.status.is_ready.load(Ordering::Relaxed)
    }

    /// Returns whether the process is about to stop.
    pub fn is_draining(&self) -> bool {
        self.status.is_draining.load(Ordering::Relaxed)
    }

    async fn call<T>(
        &self,
        make_call: impl FnOnce(ReplySender<T>) -> Call,
    ) -> Result<T, Rejection> {
        let (reply, answer) = oneshot::channel();
        let sent = self.calls.try_send(make_call(reply));
        sent.map_err(|_| Rejection::too_many_requests())?;
        answer.await.unwrap_or(Err(Rejection::Unknown))
    }
}

impl CallReceiver {
    /// Handles calls until every [`Handle`] is dropped.
    pub(crate) async fn serve<P: Platform>(&mut self, shared: &Rc<Shared<P>>) {
        while let Some(call) = self.calls.recv().await {
            tokio::task::spawn_local(handle_call(Rc::clone(shared), call));
        }
    }

    /// Returns the flags through which a server's threads see the status.
    pub(crate) fn status(&self) -> StatusFlags {
        self.status.clone()
    }
}

async fn handle_call<P: Platform>(shared: Rc<Shared<P>>, call: Call) {
    // Sending a reply fails if the caller is gone, which is fine.
    match call {
        Call::Submit(request, spec, reply) => {
            let tasks = spec.tasks_each();
            let outcome = requests::submit(&shared, &request, *spec).await;
            log_submission(&shared, &request, tasks, &outcome);
            let _ = reply.send(outcome);
        }
        Call::Cancel(request, reply) => {
            let outcome = requests::cancel(&shared, &request).await;
            log_outcome("job.cancel", &request, &outcome);
            let _ = reply.send(outcome);
        }
        Call::Phase(request, reply) => {
            let outcome = requests::phase(&shared, &request).await;
            if outcome.is_err() {
                log_outcome("job.phase", &request, &outcome);
            }
            let _ = reply.send(outcome);
        }
        Call::Waiting(request, reply) => {
            let _ = reply.send(requests::waiting(&shared, &request).await);
        }
    }
}

/// Logs a submission with the queue and the version of the policy that decided it.
fn log_submission<P>(
    shared: &Shared<P>,
    request: &Request,
    tasks: u64,
    outcome: &Result<Accepted, Rejection>,
) {
    let policy = shared.policy.borrow();
    let version = policy.as_ref().map_or(0, |policy| policy.version);
    let queue = policy
        .as_ref()
        .and_then(|policy| policy.find(&request.host, &request.path));
    let (queue, job) = match queue {
        Some(queue) => {
            let job = request.path.strip_prefix(&queue.prefix);
            (queue.name.as_str(), job.unwrap_or_default())
        }
        None => ("", request.path.as_str()),
    };
    let outcome = match outcome {
        Ok(Accepted { is_new }) => format!("accepted is_new={is_new}"),
        Err(err) => format!("rejected reason=\"{err}\""),
    };
    log::info!(
        "event=job.submit job={job} queue={queue} policy={version} tasks={tasks} outcome={outcome}"
    );
}

fn log_outcome<T: std::fmt::Debug>(event: &str, request: &Request, outcome: &Result<T, Rejection>) {
    let path = &request.path;
    match outcome {
        Ok(it) => log::info!("event={event} path={path} outcome={it:?}"),
        Err(err) => log::info!("event={event} path={path} outcome=rejected reason=\"{err}\""),
    }
}
