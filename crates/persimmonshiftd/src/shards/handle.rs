use super::{commit, takeover, worker};
use crate::{
    context::NonPoisonMutex,
    message::{OwnedShardStatus, ShardRequest, ShardResponse},
};
use persimmon_wire::api::ErrorBody;
use std::{sync::Arc, time::Duration};
use tokio::sync::{
    mpsc::{self, error::TrySendError},
    oneshot,
};

/// The most messages that can wait for the shard manager.
const CHANNEL_CAPACITY: usize = 4096;
/// How long a response is awaited. It may depend on a commit whose outcome is unknown for a while.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);

const STEP: &str = "shard.ask";
const PEER: &str = "shard";

/// A message to the shard manager.
pub(crate) enum ShardMessage {
    /// A request about a shard, and where its response is sent.
    Request(ShardRequest, oneshot::Sender<ShardResponse>),
    /// The members, the configuration or the instances may have changed.
    Wake,
    /// Hand over all shards, for a graceful shutdown.
    HandOver(oneshot::Sender<()>),
    TakeoverFinished(takeover::Completion),
    CommitFinished(commit::Completion),
    SyncFinished(worker::Completion),
}

/// The interface of the shard manager for the other tasks of the daemon.
#[derive(Debug, Clone)]
pub(crate) struct ShardHandle {
    sender: mpsc::Sender<ShardMessage>,
    owned: Arc<NonPoisonMutex<Vec<OwnedShardStatus>>>,
}

/// Creates the channel of the shard manager.
pub(crate) fn channel() -> (ShardHandle, mpsc::Receiver<ShardMessage>) {
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    (
        ShardHandle {
            sender,
            owned: Arc::default(),
        },
        receiver,
    )
}

impl ShardHandle {
    /// Sends a request to the shard manager and waits for the response.
    pub(crate) async fn ask(&self, request: ShardRequest) -> ShardResponse {
        let (reply_to, receiver) = oneshot::channel();
        match self
            .sender
            .try_send(ShardMessage::Request(request, reply_to))
        {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return refused("overloaded"),
            Err(TrySendError::Closed(_)) => return refused("stopping"),
        }
        match tokio::time::timeout(RESPONSE_TIMEOUT, receiver).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) | Err(_) => outcome_unknown(),
        }
    }

    /// Makes the shard manager run a round soon, without a delay for takeovers that failed. If the
    /// channel is full, a round is due anyway.
    pub(crate) fn wake(&self) {
        let _ = self.sender.try_send(ShardMessage::Wake);
    }

    /// Hands over all shards, and returns once that is done or the shard manager has ended.
    pub(crate) async fn hand_over(&self) {
        let (reply_to, receiver) = oneshot::channel();
        if self
            .sender
            .send(ShardMessage::HandOver(reply_to))
            .await
            .is_ok()
        {
            let _ = receiver.await;
        }
    }

    /// Returns the status of the owned shards, which is sent to other daemons.
    pub(crate) fn owned(&self) -> Vec<OwnedShardStatus> {
        self.owned.get()
    }

    pub(crate) fn set_owned(&self, owned: Vec<OwnedShardStatus>) {
        *self.owned.lock() = owned;
    }

    /// Returns a sender by which finished calls report their results.
    pub(crate) fn completion_sender(&self) -> mpsc::Sender<ShardMessage> {
        self.sender.clone()
    }
}

fn refused(code: &str) -> ShardResponse {
    let message = "the daemon does not take it now; it was not accepted";
    ShardResponse::Refused(ErrorBody::not_run(code, STEP, PEER, message).with_retry_after_ms(1_000))
}

fn outcome_unknown() -> ShardResponse {
    let message = "the store has not confirmed it; repeat it with the same key to learn";
    ShardResponse::Refused(
        ErrorBody::unknown("unsettled", STEP, PEER, message).with_retry_after_ms(1_000),
    )
}
