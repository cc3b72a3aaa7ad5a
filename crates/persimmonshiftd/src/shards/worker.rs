//! Synchronization calls to workers.

use super::handle::ShardMessage;
use crate::context::Context;
use persimmon_shard::{SyncAnswer, SyncCall, SyncFailure, TaskCommand, TaskStatus, TaskView};
use persimmon_types::JobId;
use persimmon_wire::worker::{
    AttemptId, Command, SyncRequest, SyncResponse, TaskReport, TaskState,
};
use std::{sync::Arc, time::Duration};

/// How long a worker's response is awaited.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The result of a call.
#[derive(Debug)]
pub(crate) struct Completion {
    pub(crate) shard: u16,
    pub(crate) epoch: u64,
    /// The index of the worker in the shard's list.
    pub(crate) worker: usize,
    pub(crate) result: Result<SyncAnswer, SyncFailure>,
}

/// Starts a call, whose result is sent to the shard manager.
pub(crate) fn spawn(context: Arc<Context>, shard: u16, epoch: u64, call: SyncCall) {
    let sender = context.shards.completion_sender();
    tokio::spawn(async move {
        let worker = call.worker;
        let result = call_worker(&context, shard, epoch, call).await;
        let _ = sender
            .send(ShardMessage::SyncFinished(Completion {
                shard,
                epoch,
                worker,
                result,
            }))
            .await;
    });
}

async fn call_worker(
    context: &Context,
    shard: u16,
    epoch: u64,
    call: SyncCall,
) -> Result<SyncAnswer, SyncFailure> {
    let url = format!("http://{}/v1/sync", call.address);
    let request = SyncRequest {
        shard,
        epoch,
        owner: context.settings.member_id.clone(),
        echo_nonce: call.echo_nonce,
        lease_term_ms: context.settings.lease_term.as_millis() as u64,
        commands: call
            .commands
            .into_iter()
            .map(|it| to_command(shard, it))
            .collect(),
    };
    let response = context
        .worker_client
        .post(url)
        .json(&request)
        .timeout(SYNC_TIMEOUT)
        .send()
        .await;
    let response = response.map_err(|err| {
        log::debug!(
            "step=worker.sync peer={} epoch={epoch} reason=\"{err}\"",
            call.address
        );
        SyncFailure::NoAnswer
    })?;
    if response.status() == reqwest::StatusCode::CONFLICT {
        log::warn!(
            "step=worker.sync peer={} object=shard-{shard} epoch={epoch} reason=\"the worker has \
             seen a higher epoch\"",
            call.address
        );
        return Err(SyncFailure::Fenced);
    }
    let response: SyncResponse = response.json().await.map_err(|_| SyncFailure::NoAnswer)?;
    let own_tasks = response
        .tasks
        .into_iter()
        .filter(|task| task.attempt.job.shard == shard);
    Ok(SyncAnswer {
        incarnation: response.incarnation,
        nonce: response.nonce,
        tasks: own_tasks.map(to_task_view).collect(),
        used: response.usage.used,
    })
}

fn to_command(shard: u16, command: TaskCommand) -> Command {
    let to_attempt = |number, attempt| AttemptId {
        job: JobId { shard, number },
        attempt,
    };
    match command {
        TaskCommand::Start {
            number,
            attempt,
            class,
            size,
            run_time,
            checkpoint,
        } => Command::Start {
            attempt: to_attempt(number, attempt),
            class,
            size,
            run_time_ms: run_time.as_millis() as u64,
            checkpoint,
        },
        TaskCommand::Throttle {
            number,
            attempt,
            percent,
        } => Command::Throttle {
            attempt: to_attempt(number, attempt),
            percent,
        },
        TaskCommand::Evict { number, attempt } => Command::Evict {
            attempt: to_attempt(number, attempt),
        },
        TaskCommand::Stop { number, attempt } => Command::Stop {
            attempt: to_attempt(number, attempt),
        },
        TaskCommand::Forget { number, attempt } => Command::Forget {
            attempt: to_attempt(number, attempt),
        },
    }
}

fn to_task_view(task: TaskReport) -> TaskView {
    TaskView {
        number: task.attempt.job.number,
        attempt: task.attempt.attempt,
        status: match task.state {
            TaskState::Running => TaskStatus::Running,
            TaskState::Done => TaskStatus::Done,
            TaskState::Failed => TaskStatus::Failed,
            TaskState::Stopped => TaskStatus::Stopped,
            TaskState::Lapsed => TaskStatus::Lapsed,
        },
        checkpoint: task.checkpoint,
    }
}
