//! Order in which changed jobs are written to the store.

use crate::support::{job, starts, step, TestEngine};
use persimmon_sched::{Answer, Commit, JobId};
use std::collections::BTreeSet;

const BATCH: usize = 4;

/// Submits jobs with one task each, so that placing them changes all of their records.
fn placed_jobs(count: u64) -> TestEngine {
    let mut harness = TestEngine::with_runners(&["a"], 1_000 * count as u32);
    for id in 1..=count {
        harness.submit(job(id, vec![step(1)]));
    }
    harness.engine.tick(0, harness.now);
    harness
}

fn confirm(harness: &mut TestEngine, commits: &[Commit]) {
    for commit in commits {
        let revision = commit.revision + 1;
        harness
            .engine
            .handle_commit(commit.job, commit.version, revision);
    }
}

/// Refuses the starts that were ordered and places their tasks again.
fn change_again(harness: &mut TestEngine) {
    for (_, task, run) in starts(&harness.engine.take_orders()) {
        harness.answer_start(task, run, Answer::Room);
    }
    harness.advance(100);
    harness.engine.tick(0, harness.now);
}

#[test]
fn changed_job_waits_while_jobs_with_lower_ids_change_again() {
    const JOBS: u64 = 20;
    let mut harness = placed_jobs(JOBS);
    let mut written = BTreeSet::new();
    let batches = JOBS as usize / BATCH;
    for _ in 0..batches {
        let commits = harness.engine.take_commits(BATCH);
        written.extend(commits.iter().map(|commit| commit.job));
        confirm(&mut harness, &commits);
        change_again(&mut harness);
    }
    let missing: Vec<_> = (1..=JOBS)
        .filter(|&id| !written.contains(&JobId::new(id)))
        .collect();
    assert!(missing.is_empty(), "{missing:?} after {batches} batches");
}

#[test]
fn job_that_changes_while_it_is_written_keeps_its_place() {
    let mut harness = placed_jobs(3);
    let first = harness.engine.take_commits(1);
    let id = first[0].job;
    assert!(harness.engine.cancel(id, harness.now), "a second change");
    let others = harness.engine.take_commits(1);
    assert_ne!(others[0].job, id, "one write of a job is in flight at most");
    confirm(&mut harness, &first);
    confirm(&mut harness, &others);
    let mut ids = Vec::new();
    for _ in 0..2 {
        let commits = harness.engine.take_commits(1);
        ids.extend(commits.iter().map(|commit| commit.job));
        confirm(&mut harness, &commits);
    }
    assert!(ids.contains(&id), "{ids:?}");
    assert!(harness.engine.take_commits(1).is_empty());
}
