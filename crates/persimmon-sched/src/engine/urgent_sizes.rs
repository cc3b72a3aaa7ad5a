//! The usual size of urgent tasks, for which long-running ones leave room.

use crate::StepSpec;

/// Weight of a new step in the mean.
const NEW_WEIGHT: f64 = 0.05;

/// Mean processor claim of urgent tasks, the latest weighing most.
#[derive(Debug, Default)]
pub(crate) struct UrgentSizes {
    mean_millis: Option<f64>,
}

impl UrgentSizes {
    /// Adds a step of a job of the highest priority.
    pub(crate) fn add(&mut self, step: &StepSpec) {
        let millis = f64::from(step.claim().cpu_millis);
        if step.long_running || millis == 0.0 {
            return;
        }
        let mean = self.mean_millis.unwrap_or(millis);
        self.mean_millis = Some(mean + (millis - mean) * NEW_WEIGHT);
    }

    /// The mean in thousandths of a core; `None` before the first step.
    pub(crate) fn mean_millis(&self) -> Option<u32> {
        self.mean_millis.map(|it| (it as u32).max(1))
    }
}
