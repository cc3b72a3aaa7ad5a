//! The views of jobs and shards in API responses, and the status of shards for other daemons.

use super::owned::OwnedShard;
use crate::message::{OwnedShardStatus, TeamUsage};
use persimmon_chart::Label;
use persimmon_shard::{Job, JobState, WaitReason};
use persimmon_types::JobId;
use persimmon_wire::api::{JobCount, JobView, ShardView, WorkerView};

pub(crate) fn job_view(owned: &OwnedShard, job: &Job, repeated: bool) -> JobView {
    let mut reasons = job.reasons.clone();
    let wait_reason = owned.core.wait_reason(job.number);
    reasons.extend(wait_reason.map(|reason| format!("now {}", wait_text(reason))));
    JobView {
        id: JobId {
            shard: owned.shard,
            number: job.number,
        },
        key: job.key.clone(),
        class: job.class.clone(),
        state: job.state.label().to_owned(),
        attempt: job.attempt,
        worker: job.worker.as_ref().map(|(id, _)| id.clone()),
        deadline_unix_ms: job.deadline_unix_ms,
        ended_unix_ms: job.ended_unix_ms,
        evictions: job.evictions,
        repeated,
        reasons,
    }
}

fn wait_text(reason: WaitReason) -> &'static str {
    match reason {
        WaitReason::Quota => "waits: its team's quota is used up",
        WaitReason::NoRoom => "waits: no worker has room",
        WaitReason::BatchBudget => {
            "waits: it would raise the month's busiest minute and has time left"
        }
    }
}

pub(crate) fn shard_view(owned: &OwnedShard, member: &str) -> ShardView {
    let job_table = owned.core.jobs();
    let jobs = JobState::ALL.iter().map(|state| JobCount {
        state: state.label().to_owned(),
        count: job_table.iter().filter(|job| job.state == *state).count() as u64,
    });
    let workers = owned.core.iter_workers().map(|worker| WorkerView {
        id: worker.id,
        rack: worker.rack,
        state: worker.state.label().to_owned(),
        capacity: worker.capacity,
        claimed: worker.claimed,
        tasks: worker.tasks,
    });
    ShardView {
        shard: owned.shard,
        owner: member.to_owned(),
        epoch: owned.record.epoch,
        workers: workers.collect(),
        jobs: jobs.filter(|count| count.count > 0).collect(),
        commits: owned.commits,
        evictions: job_table.evictions(),
        deadlines_met: job_table.deadlines_met(),
        deadlines_missed: job_table.deadlines_missed(),
    }
}

pub(crate) fn shard_status(owned: &OwnedShard) -> OwnedShardStatus {
    let demand = owned.core.demand();
    let teams = owned.core.team_used().into_iter();
    OwnedShardStatus {
        shard: owned.shard,
        epoch: owned.record.epoch,
        claimed_cpu_millis: demand.claimed_cpu_millis,
        required_cpu_millis: demand.required_cpu_millis,
        queued_cpu_millis: demand.queued_cpu_millis,
        capacity_cpu_millis: demand.capacity_cpu_millis,
        largest: demand.largest,
        team_used: teams.map(|(team, used)| TeamUsage { team, used }).collect(),
    }
}
