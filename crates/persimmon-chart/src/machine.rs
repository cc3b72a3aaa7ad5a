use crate::{parse, Chart, Label, ParseError};

/// A chart bound to the enums `S` (states) and `E` (events).
#[derive(Debug, Clone)]
pub struct Machine<S, E> {
    name: String,
    initial: S,
    table: Vec<Option<S>>,
    event: std::marker::PhantomData<E>,
}

/// The chart has no such arrow.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("chart {chart}: no way out of {state} on {event}")]
pub struct TransitionError {
    /// The chart's name.
    pub chart: String,
    /// The state it was in.
    pub state: &'static str,
    /// The event that does not apply there.
    pub event: &'static str,
}

impl<S: Label, E: Label> Machine<S, E> {
    /// Reads the chart in `text` and binds it; every name must occur on both sides.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseError> {
        Self::bind(file, &parse(file, text)?)
    }

    fn bind(file: &str, chart: &Chart) -> Result<Self, ParseError> {
        let error = |line: usize, reason: String| ParseError {
            chart: file.to_owned(),
            line,
            reason,
        };
        let state = |name: &str, line: usize| {
            S::find(name).ok_or_else(|| error(line, format!("the code has no state {name:?}")))
        };
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for arrow in &chart.transitions {
            let event = E::find(&arrow.on).ok_or_else(|| {
                error(arrow.line, format!("the code has no event {:?}", arrow.on))
            })?;
            let from = state(&arrow.from, arrow.line)?;
            table[from.position() * E::ALL.len() + event.position()] =
                Some(state(&arrow.to, arrow.line)?);
        }
        if let Some(missing) = S::ALL
            .iter()
            .find(|value| !chart.states.iter().any(|name| name == value.label()))
        {
            return Err(error(
                1,
                format!("state {:?} of the code is missing", missing.label()),
            ));
        }
        if let Some(missing) = E::ALL.iter().find(|value| {
            !chart
                .transitions
                .iter()
                .any(|arrow| arrow.on == value.label())
        }) {
            return Err(error(
                1,
                format!("event {:?} of the code is missing", missing.label()),
            ));
        }
        Ok(Self {
            name: chart.name.clone(),
            initial: state(&chart.initial, 1)?,
            table,
            event: std::marker::PhantomData,
        })
    }

    /// The first state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state after `event` in `state`.
    pub fn step(&self, state: S, event: E) -> Result<S, TransitionError> {
        self.try_step(state, event).ok_or_else(|| TransitionError {
            chart: self.name.clone(),
            state: state.label(),
            event: event.label(),
        })
    }

    /// Like [`Self::step`], with `None` where the chart has no arrow.
    pub fn try_step(&self, state: S, event: E) -> Option<S> {
        self.table[state.position() * E::ALL.len() + event.position()]
    }
}
