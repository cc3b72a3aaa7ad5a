use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// A transition of a chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The source state.
    pub from: String,
    /// The event that triggers it.
    pub on: String,
    /// The target state.
    pub to: String,
    /// The line in the file, counted from 1.
    pub line: usize,
}

/// A parsed chart: every state that it names is declared, each declared state has an incoming
/// transition or is initial, and no state has two transitions on the same event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    /// What the chart describes, for example `job`.
    pub name: String,
    /// The initial state.
    pub initial: String,
    /// All states.
    pub states: Vec<String>,
    /// States that must not have outgoing transitions.
    pub terminal: Vec<String>,
    /// All transitions, in file order.
    pub transitions: Vec<Transition>,
}

/// The error returned when a file is not a valid chart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("chart {file}, line {line}: {reason}")]
pub struct ParseError {
    /// The chart's file name.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    name: String,
    initial: Spanned<String>,
    states: Vec<Spanned<String>>,
    #[serde(default)]
    terminal: Vec<Spanned<String>>,
    transition: Vec<TransitionFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionFile {
    from: Spanned<String>,
    on: Spanned<String>,
    to: Spanned<String>,
}

/// Parses the chart in `text`; `file` is its name in errors.
pub fn parse(file: &str, text: &str) -> Result<Chart, ParseError> {
    let error = |span: Option<Range<usize>>, reason: String| ParseError {
        file: file.to_owned(),
        line: span.map_or(1, |span| line_of_offset(text, span.start)),
        reason,
    };
    let chart_file: ChartFile =
        toml::from_str(text).map_err(|err| error(err.span(), err.message().to_owned()))?;
    let states: Vec<String> = chart_file
        .states
        .iter()
        .map(|state| state.get_ref().clone())
        .collect();
    let declared_state = |state: &Spanned<String>| {
        if states.contains(state.get_ref()) {
            return Ok(state.get_ref().clone());
        }
        Err(error(
            Some(state.span()),
            format!("state {:?} is not declared", state.get_ref()),
        ))
    };
    let initial = declared_state(&chart_file.initial)?;
    let terminal = chart_file
        .terminal
        .iter()
        .map(declared_state)
        .collect::<Result<Vec<_>, _>>()?;
    let mut transitions: Vec<Transition> = Vec::with_capacity(chart_file.transition.len());
    for transition in &chart_file.transition {
        let (from, to) = (
            declared_state(&transition.from)?,
            declared_state(&transition.to)?,
        );
        let on = transition.on.get_ref().clone();
        if terminal.contains(&from) {
            let reason = format!("state {from:?} is terminal but has an outgoing transition");
            return Err(error(Some(transition.from.span()), reason));
        }
        if transitions
            .iter()
            .any(|other| other.from == from && other.on == on)
        {
            let reason = format!("state {from:?} has two transitions on {on:?}");
            return Err(error(Some(transition.on.span()), reason));
        }
        let line = line_of_offset(text, transition.from.span().start);
        transitions.push(Transition { from, on, to, line });
    }
    for state in &chart_file.states {
        let name = state.get_ref();
        let reached =
            *name == initial || transitions.iter().any(|transition| transition.to == *name);
        if !reached {
            return Err(error(
                Some(state.span()),
                format!("state {name:?} has no incoming transition"),
            ));
        }
    }
    Ok(Chart {
        name: chart_file.name,
        initial,
        states,
        terminal,
        transitions,
    })
}

fn line_of_offset(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
