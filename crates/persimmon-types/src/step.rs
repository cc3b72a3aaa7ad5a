/// What a program could not do, and why: for errors that it only reports.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct StepError {
    /// The step that failed, for example `runtime`.
    pub step: &'static str,
    /// Why it failed.
    pub reason: String,
}

impl StepError {
    /// `step` failed for `reason`.
    pub fn new(step: &'static str, reason: impl std::fmt::Display) -> Self {
        Self {
            step,
            reason: reason.to_string(),
        }
    }

    /// Turns errors of `step` into errors of this type, for `map_err`.
    pub fn of<E: std::fmt::Display>(step: &'static str) -> impl Fn(E) -> Self {
        move |err| Self::new(step, err)
    }
}
