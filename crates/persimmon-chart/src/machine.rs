use crate::{parse, Chart, Label, ParseError};

/// A chart bound to the enum `S` of states and the enum `E` of events.
#[derive(Debug, Clone)]
pub struct Machine<S, E> {
    name: String,
    initial: S,
    /// The next state for each state and event, in row-major order by state.
    table: Vec<Option<S>>,
    event: std::marker::PhantomData<E>,
}

/// The error returned when a state has no transition for an event.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("chart {chart}: no way out of {state} on {event}")]
pub struct TransitionError {
    /// The chart's name.
    pub chart: String,
    /// The current state.
    pub state: &'static str,
    /// The event without a transition.
    pub event: &'static str,
}

impl<S: Label, E: Label> Machine<S, E> {
    /// Parses the chart in `text` and binds it to the enums.
    ///
    /// Fails unless the chart and the enums name the same states and events.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseError> {
        Self::bind(file, &parse(file, text)?)
    }

    /// Resolves the names in `chart` to values of the enums; fails if a name or a value has no
    /// counterpart.
    fn bind(file: &str, chart: &Chart) -> Result<Self, ParseError> {
        let error = |line: usize, reason: String| ParseError {
            file: file.to_owned(),
            line,
            reason,
        };
        let state = |name: &str, line: usize| {
            S::find(name).ok_or_else(|| error(line, format!("the code has no state {name:?}")))
        };
        let mut table = vec![None; S::ALL.len() * E::ALL.len()];
        for transition in &chart.transitions {
            let event = E::find(&transition.on).ok_or_else(|| {
                error(
                    transition.line,
                    format!("the code has no event {:?}", transition.on),
                )
            })?;
            let from = state(&transition.from, transition.line)?;
            table[from.position() * E::ALL.len() + event.position()] =
                Some(state(&transition.to, transition.line)?);
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
                .any(|transition| transition.on == value.label())
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

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that follows `state` on `event`.
    pub fn step(&self, state: S, event: E) -> Result<S, TransitionError> {
        self.try_step(state, event).ok_or_else(|| TransitionError {
            chart: self.name.clone(),
            state: state.label(),
            event: event.label(),
        })
    }

    /// Like [`Self::step`], but returns `None` if the chart has no such transition.
    pub fn try_step(&self, state: S, event: E) -> Option<S> {
        self.table[state.position() * E::ALL.len() + event.position()]
    }
}
