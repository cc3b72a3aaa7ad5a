use crate::JobSpec;
use std::{collections::HashMap, time::Duration};

/// Weight of the newest run in the moving average.
const LEARNING_RATE: f64 = 0.05;

/// Measured mean run times of the tasks of each queue. Declared estimates are often far off, while
/// tasks of a queue are much alike, so the mean of the two is closer than either.
#[derive(Debug, Default)]
pub(super) struct Durations {
    mean_ms: HashMap<String, f64>,
}

impl Durations {
    /// Updates the mean with a run that succeeded.
    pub(super) fn learn(&mut self, queue: &str, ran: Duration) {
        let ran_ms = ran.as_secs_f64() * 1_000.0;
        match self.mean_ms.get_mut(queue) {
            Some(mean_ms) => *mean_ms += LEARNING_RATE * (ran_ms - *mean_ms),
            None => {
                self.mean_ms.insert(queue.to_owned(), ran_ms);
            }
        }
    }

    /// Mean run times in milliseconds, by queue.
    pub(super) fn iter(&self) -> impl Iterator<Item = (String, f64)> + '_ {
        let means = self.mean_ms.iter();
        means.map(|(queue, &mean_ms)| (queue.clone(), mean_ms))
    }

    /// Restores a mean learned by an earlier owner.
    pub(super) fn restore(&mut self, queue: String, mean_ms: f64) {
        self.mean_ms.insert(queue, mean_ms);
    }

    /// Estimated run time of the critical path through a job's steps.
    pub(super) fn critical_path_ms(&self, spec: &JobSpec) -> f64 {
        let mean_ms = self.mean_ms.get(&spec.queue).copied();
        let mut ends_ms: Vec<f64> = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            let declared_ms = step.estimate_ms as f64;
            let ready_ms = step.after.iter().map(|&at| ends_ms[usize::from(at)]);
            let ready_ms = ready_ms.fold(0.0, f64::max);
            let own_ms = mean_ms.map_or(declared_ms, |mean_ms| (declared_ms + mean_ms) / 2.0);
            ends_ms.push(ready_ms + own_ms);
        }
        ends_ms.into_iter().fold(0.0, f64::max)
    }
}
