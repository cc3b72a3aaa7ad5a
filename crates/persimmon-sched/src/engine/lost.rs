use super::{Engine, Stage, State};
use crate::fleet::RunnerKey;
use std::time::Instant;

impl Engine {
    /// Takes the runs of a runner as ended once their lease must have lapsed.
    pub(crate) fn lapse(&mut self, now: Instant) {
        for at in 0..self.runners.len() {
            let runner = &self.runners[at];
            if runner.claims.is_empty() || now < runner.lease.lapses_at() {
                continue;
            }
            log::warn!(
                "event=lease.lapsed runner={} runs={} listed={}",
                runner.info.id,
                runner.claims.len(),
                runner.listed
            );
            // A start that is ordered may still be sent, with a new lease; its answer decides.
            self.lose_runs(RunnerKey(at as u32), |stage| stage != Stage::Ordered);
        }
    }

    /// Takes the runs on a runner that `gone` picks as ended, without knowing how.
    pub(crate) fn lose_runs(&mut self, key: RunnerKey, gone: impl Fn(Stage) -> bool) {
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            let state = self
                .task(id)
                .filter(|task| task.run == run)
                .map(|task| task.state);
            match state {
                Some(State::Placed { runner, stage }) if runner == key => {
                    if gone(stage) && !matches!(stage, Stage::Committing(_)) {
                        self.requeue(id, run, None);
                    }
                }
                _ => self.runner_mut(key).release(id, run),
            }
        }
    }

    /// Forgets what an earlier incarnation of a runner ran. A start that had no answer may still be
    /// carried out by the new one, so it stays in doubt.
    pub(crate) fn reborn(&mut self, key: RunnerKey, incarnation_ms: u64, now: Instant) {
        let runner = self.runner_mut(key);
        let known = runner.incarnation_ms.replace(incarnation_ms);
        if known.is_none_or(|known| known == incarnation_ms) {
            return;
        }
        log::warn!("event=runner.reborn runner={}", runner.info.id);
        runner.processed = 0;
        runner.acknowledged = 0;
        runner.ends.clear();
        runner.lease.forget();
        let unsure = |stage| matches!(stage, Stage::Ordered | Stage::Doubt { .. });
        self.lose_runs(key, |stage| !unsure(stage));
        let claims: Vec<_> = self.runner(key).claims.keys().copied().collect();
        for (id, run) in claims {
            let Some(task) = self.task_mut(id).filter(|task| task.run == run) else {
                continue;
            };
            if let State::Placed { runner, stage } = task.state {
                if unsure(stage) {
                    let stage = Stage::Doubt {
                        asked_at: now,
                        stopped_at: None,
                    };
                    task.state = State::Placed { runner, stage };
                    self.unsettled.insert((id, run));
                }
            }
        }
    }
}
