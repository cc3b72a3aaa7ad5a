use persimmon_place::Shares;
use persimmon_shard::{
    Charts, Core, JobState, JobTable, Options, Submission, SubmitError, SyncAnswer, TaskCommand,
    TaskStatus, TaskView, WaitReason, WorkerSpec,
};
use persimmon_ticket::{BatchClass, Rerun};
use persimmon_types::Size;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

const NOW_UNIX_MS: u64 = 1_000_000;

fn core(now: Instant) -> Core {
    let charts = Arc::new(Charts::load().expect("valid charts"));
    let shares = Shares {
        latency_critical_percent: 50,
        batch_percent: 50,
    };
    let mut core = Core::new(Options::default(), charts, shares, JobTable::default(), now);
    let spec = WorkerSpec {
        id: "w0".to_owned(),
        address: "w0".to_owned(),
        rack: "rack".to_owned(),
        capacity: Size {
            cpu_millis: 8_000,
            memory_mib: 8_000,
            accelerators: 0,
        },
        runners: Size::ZERO,
        leaving: false,
    };
    core.set_workers(&[spec], now);
    core
}

fn sync_worker(core: &mut Core, now: Instant) -> Vec<TaskCommand> {
    let call = core.begin_sync(0, true);
    let used = Size::ZERO;
    let answer = SyncAnswer {
        incarnation: 1,
        nonce: 1,
        tasks: Vec::new(),
        used,
    };
    core.end_sync(0, Ok(answer), now, NOW_UNIX_MS);
    call.commands
}

fn submission(key: &str, cpu_millis: u32) -> Submission {
    Submission {
        key: key.to_owned(),
        class: BatchClass {
            name: "class".to_owned(),
            team: "team".to_owned(),
            size: Size {
                cpu_millis,
                memory_mib: 100,
                accelerators: 0,
            },
            run_time: Duration::from_secs(10),
            rerun: Rerun::Safe,
            attempts_max: 2,
            urgent: false,
        },
        deadline_unix_ms: NOW_UNIX_MS + 600_000,
    }
}

#[test]
fn core_start_only_after_commit() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    assert_eq!(core.place_queued(now, NOW_UNIX_MS), 1);
    assert!(
        sync_worker(&mut core, now).is_empty(),
        "a start was sent before its entry was taken for a commit"
    );
    let (seq, entries) = core.take_batch().expect("entries");
    assert_eq!(entries.len(), 2);
    assert!(
        sync_worker(&mut core, now).is_empty(),
        "a start was sent before its entry was committed"
    );
    core.commit(seq);
    let commands = sync_worker(&mut core, now);
    assert!(matches!(
        commands[..],
        [TaskCommand::Start {
            number: 1,
            attempt: 1,
            ..
        }]
    ));
}

/// If a report were dropped before its entry is committed, a later owner would rerun the job.
#[test]
fn core_report_kept_until_commit() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    core.place_queued(now, NOW_UNIX_MS);
    let (seq, _) = core.take_batch().expect("entries");
    core.commit(seq);
    sync_worker(&mut core, now);
    let report = |core: &mut Core| {
        let call = core.begin_sync(0, true);
        let status = TaskStatus::Done;
        let tasks = vec![TaskView {
            number: 1,
            attempt: 1,
            status,
            checkpoint: None,
        }];
        let answer = SyncAnswer {
            incarnation: 1,
            nonce: 2,
            tasks,
            used: Size::ZERO,
        };
        core.end_sync(0, Ok(answer), now, NOW_UNIX_MS);
        call.commands
    };
    report(&mut core);
    let is_forget = |command: &TaskCommand| matches!(command, TaskCommand::Forget { .. });
    assert!(
        !report(&mut core).iter().any(is_forget),
        "the report was dropped before its entry was taken for a commit"
    );
    let (seq, _) = core.take_batch().expect("the completion entry");
    assert!(
        !report(&mut core).iter().any(is_forget),
        "the report was dropped before its entry was committed"
    );
    core.commit(seq);
    report(&mut core);
    assert!(
        report(&mut core).iter().any(is_forget),
        "the report was not dropped after the commit"
    );
}

#[test]
fn core_without_valid_ownership_sends_no_commands() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    core.place_queued(now, NOW_UNIX_MS);
    let (seq, _) = core.take_batch().expect("entries");
    core.commit(seq);
    let call = core.begin_sync(0, false);
    assert_eq!(call.echo_nonce, None);
    assert!(call.commands.is_empty());
}

#[test]
fn core_rejects_jobs_that_can_never_run() {
    let now = Instant::now();
    let mut core = core(now);
    let never = core.submit(submission("big", 4_001), NOW_UNIX_MS);
    assert!(
        matches!(never, Err(SubmitError::NeverFits { .. })),
        "{never:?}"
    );
    let late = Submission {
        deadline_unix_ms: NOW_UNIX_MS + 9_999,
        ..submission("late", 1)
    };
    let late = core.submit(late, NOW_UNIX_MS);
    assert!(matches!(late, Err(SubmitError::TooLate { .. })), "{late:?}");
    let quota = Size {
        cpu_millis: 500,
        memory_mib: 500,
        accelerators: 0,
    };
    let shares = Shares {
        latency_critical_percent: 50,
        batch_percent: 50,
    };
    core.configure(shares, BTreeMap::from([("team".to_owned(), quota)]));
    let over = core.submit(submission("over", 501), NOW_UNIX_MS);
    assert!(
        matches!(over, Err(SubmitError::OverQuota { .. })),
        "{over:?}"
    );
    assert!(
        core.take_batch().is_none(),
        "a rejected submission must append no entry"
    );
}

#[test]
fn core_applies_quota_across_shards() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    let quota = Size {
        cpu_millis: 2_000,
        memory_mib: 9_000,
        accelerators: 0,
    };
    let shares = Shares {
        latency_critical_percent: 50,
        batch_percent: 50,
    };
    core.configure(shares, BTreeMap::from([("team".to_owned(), quota)]));
    let used = Size {
        cpu_millis: 1_000,
        memory_mib: 100,
        accelerators: 0,
    };
    core.set_team_used_elsewhere(BTreeMap::from([("team".to_owned(), used)]));
    for key in ["a", "b"] {
        core.submit(submission(key, 1_000), NOW_UNIX_MS)
            .expect("accepted");
    }
    assert_eq!(core.place_queued(now, NOW_UNIX_MS), 1);
    assert_eq!(core.wait_reason(2), Some(WaitReason::Quota));
}

#[test]
fn core_over_budget_job_waits_until_latest_start() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    core.set_batch_budget(500);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    assert_eq!(core.place_queued(now, NOW_UNIX_MS), 0);
    assert_eq!(core.wait_reason(1), Some(WaitReason::BatchBudget));
    // The latest start is 12.5 s before the deadline: the declared 10 s and the margin of 25 %.
    assert_eq!(core.place_queued(now, NOW_UNIX_MS + 587_499), 0);
    assert_eq!(core.place_queued(now, NOW_UNIX_MS + 587_500), 1);
}

#[test]
fn core_places_nothing_on_unresponsive_worker() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    let later = now + Options::default().silence_after;
    core.tick(later, NOW_UNIX_MS);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    assert_eq!(core.place_queued(later, NOW_UNIX_MS), 0);
    assert_eq!(core.wait_reason(1), Some(WaitReason::NoRoom));
}

#[test]
fn core_resubmission_returns_ended_job() {
    let now = Instant::now();
    let mut core = core(now);
    let first = core
        .submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    core.cancel(first.number, NOW_UNIX_MS).expect("cancelled");
    let resubmitted = core
        .submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("the same job");
    assert!(resubmitted.repeated);
    assert_eq!(resubmitted.number, first.number);
    let job = core.jobs().try_find(resubmitted.number).expect("the job");
    assert_eq!(job.state, JobState::Cancelled);
}

#[test]
fn core_assigns_key_to_one_shard() {
    let now = Instant::now();
    let mut core = core(now);
    let (shard, seq) = core.assign("a", 4, NOW_UNIX_MS);
    assert_eq!(shard, 4);
    assert!(
        !core.is_committed(seq),
        "the assignment must not be announced before it is committed"
    );
    // A resubmission is assigned to the same shard, irrespective of the free resources by then.
    assert_eq!(core.assign("a", 5, NOW_UNIX_MS).0, 4);
    let (seq, entries) = core.take_batch().expect("one entry");
    assert_eq!(entries.len(), 1);
    core.commit(seq);
    assert_eq!(core.jobs().try_find_assigned("a"), Some(4));
    core.prune(NOW_UNIX_MS + 1);
    assert_eq!(core.jobs().try_find_assigned("a"), None);
}

/// A snapshot is written while its batch is uncommitted, so jobs must be pruned then.
#[test]
fn core_prunes_ended_jobs_while_other_entries_are_uncommitted() {
    let now = Instant::now();
    let mut core = core(now);
    let ended = core.submit(submission("ended", 1_000), NOW_UNIX_MS);
    let ended = ended.expect("accepted").number;
    core.cancel(ended, NOW_UNIX_MS).expect("cancelled");
    let (seq, _) = core.take_batch().expect("entries");
    core.prune(NOW_UNIX_MS + 1);
    assert!(
        core.jobs().try_find(ended).is_some(),
        "a job with uncommitted entries was pruned"
    );
    core.commit(seq);
    let open = core.submit(submission("open", 1_000), NOW_UNIX_MS);
    let open = open.expect("accepted").number;
    core.take_batch().expect("entries");
    core.prune(NOW_UNIX_MS + 1);
    assert_eq!(core.jobs().try_find(ended), None);
    assert!(core.jobs().try_find(open).is_some());
}

#[test]
fn core_polls_worker_at_expected_completion() {
    let now = Instant::now();
    let mut core = core(now);
    sync_worker(&mut core, now);
    core.submit(submission("a", 1_000), NOW_UNIX_MS)
        .expect("accepted");
    core.place_queued(now, NOW_UNIX_MS);
    let (seq, _) = core.take_batch().expect("entries");
    core.commit(seq);
    sync_worker(&mut core, now);
    let status = TaskStatus::Running;
    let tasks = vec![TaskView {
        number: 1,
        attempt: 1,
        status,
        checkpoint: None,
    }];
    let running = SyncAnswer {
        incarnation: 1,
        nonce: 2,
        tasks,
        used: Size::ZERO,
    };
    core.begin_sync(0, true);
    core.end_sync(0, Ok(running), now, NOW_UNIX_MS + 9_500);
    assert!(core
        .due_workers(now + Duration::from_millis(499))
        .is_empty());
    assert_eq!(core.due_workers(now + Duration::from_millis(500)), [0]);
}
