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
    /// Creates an error that reports that `step` failed because of `reason`.
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
