use super::{commit, take, worker};
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

/// Messages that wait for the duty.
const RING_LEN: usize = 4096;
/// How long an answer is waited for; commits may be in doubt for a while.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);

const STEP: &str = "shard.ask";
const PEER: &str = "shard";

/// What the duty is told.
pub(crate) enum ShardMessage {
    /// A question and where its answer goes.
    Ask(ShardRequest, oneshot::Sender<ShardResponse>),
    /// Members, configuration or instances may have changed.
    Wake,
    /// Hand all shards over, for a planned stop.
    HandOver(oneshot::Sender<()>),
    Taken(take::Done),
    Committed(commit::Done),
    Synced(worker::Done),
}

/// The other duties' end of the shard duty's ring.
#[derive(Debug, Clone)]
pub(crate) struct ShardHandle {
    ring: mpsc::Sender<ShardMessage>,
    owned: Arc<NonPoisonMutex<Vec<OwnedShardStatus>>>,
}

/// The ring and its receiving end.
pub(crate) fn channel() -> (ShardHandle, mpsc::Receiver<ShardMessage>) {
    let (sender, receiver) = mpsc::channel(RING_LEN);
    (
        ShardHandle {
            ring: sender,
            owned: Arc::default(),
        },
        receiver,
    )
}

impl ShardHandle {
    /// Asks and waits for the answer.
    pub(crate) async fn ask(&self, question: ShardRequest) -> ShardResponse {
        let (sender, receiver) = oneshot::channel();
        match self.ring.try_send(ShardMessage::Ask(question, sender)) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => return not_taken("overloaded"),
            Err(TrySendError::Closed(_)) => return not_taken("stopping"),
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => unsettled(),
        }
    }

    /// Makes the duty look at everything soon. A full ring will do so anyway.
    pub(crate) fn wake(&self) {
        let _ = self.ring.try_send(ShardMessage::Wake);
    }

    /// Hands all shards over; returns once that is done or has failed.
    pub(crate) async fn hand_over(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.ring.send(ShardMessage::HandOver(sender)).await.is_ok() {
            let _ = receiver.await;
        }
    }

    /// News of the shards that are owned.
    pub(crate) fn owned(&self) -> Vec<OwnedShardStatus> {
        self.owned.get()
    }

    pub(crate) fn set_owned(&self, owned: Vec<OwnedShardStatus>) {
        *self.owned.lock() = owned;
    }

    /// The end by which calls report what became of them.
    pub(crate) fn reporter(&self) -> mpsc::Sender<ShardMessage> {
        self.ring.clone()
    }
}

fn not_taken(code: &str) -> ShardResponse {
    let message = "the daemon does not take it now; it was not accepted";
    ShardResponse::Refused(ErrorBody::not_run(code, STEP, PEER, message).with_retry_after_ms(1_000))
}

fn unsettled() -> ShardResponse {
    let message = "the store has not confirmed it; repeat it with the same key to learn";
    ShardResponse::Refused(
        ErrorBody::unknown("unsettled", STEP, PEER, message).with_retry_after_ms(1_000),
    )
}
