/// The failure of a named step, for errors that are reported and not handled by kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{step}: {reason}")]
pub struct StepError {
    /// The step that failed, for example `runtime`.
    pub step: &'static str,
    /// Why it failed.
    pub reason: String,
}

impl StepError {
    /// Creates the error of `step` that failed for `reason`.
    pub fn new(step: &'static str, reason: impl std::fmt::Display) -> Self {
        Self {
            step,
            reason: reason.to_string(),
        }
    }

    /// Returns a function for `map_err` that converts an error of `step` to this type.
    pub fn of<E: std::fmt::Display>(step: &'static str) -> impl Fn(E) -> Self {
        move |err| Self::new(step, err)
    }
}
