use serde::Deserialize;
use std::ops::Range;
use toml::Spanned;

/// One arrow of a chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The state it leaves.
    pub from: String,
    /// The event that takes it.
    pub on: String,
    /// The state it enters.
    pub to: String,
    /// The line of the file, counted from 1.
    pub line: usize,
}

/// A chart as read, with all names checked against each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    /// What the chart describes, for example `job`.
    pub name: String,
    /// The first state.
    pub initial: String,
    /// All states.
    pub states: Vec<String>,
    /// States without a way out.
    pub terminal: Vec<String>,
    /// All arrows, in file order.
    pub transitions: Vec<Transition>,
}

/// The file is not a sound chart.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("chart {chart}, line {line}: {reason}")]
pub struct ParseError {
    /// The chart's file name.
    pub chart: String,
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

/// Reads the chart in `text`; `file` names it in errors.
pub fn parse(file: &str, text: &str) -> Result<Chart, ParseError> {
    let error = |span: Option<Range<usize>>, reason: String| ParseError {
        chart: file.to_owned(),
        line: span.map_or(1, |span| line_at(text, span.start)),
        reason,
    };
    let raw: ChartFile =
        toml::from_str(text).map_err(|err| error(err.span(), err.message().to_owned()))?;
    let states: Vec<String> = raw
        .states
        .iter()
        .map(|state| state.get_ref().clone())
        .collect();
    let known = |state: &Spanned<String>| {
        if states.contains(state.get_ref()) {
            return Ok(state.get_ref().clone());
        }
        Err(error(
            Some(state.span()),
            format!("state {:?} is not declared", state.get_ref()),
        ))
    };
    let initial = known(&raw.initial)?;
    let terminal = raw
        .terminal
        .iter()
        .map(known)
        .collect::<Result<Vec<_>, _>>()?;
    let mut transitions: Vec<Transition> = Vec::with_capacity(raw.transition.len());
    for arrow in &raw.transition {
        let (from, to) = (known(&arrow.from)?, known(&arrow.to)?);
        let on = arrow.on.get_ref().clone();
        if terminal.contains(&from) {
            let reason = format!("state {from:?} is terminal but has a way out");
            return Err(error(Some(arrow.from.span()), reason));
        }
        if transitions
            .iter()
            .any(|other| other.from == from && other.on == on)
        {
            let reason = format!("state {from:?} has two ways out on {on:?}");
            return Err(error(Some(arrow.on.span()), reason));
        }
        let line = line_at(text, arrow.from.span().start);
        transitions.push(Transition { from, on, to, line });
    }
    for state in &raw.states {
        let name = state.get_ref();
        let reached = *name == initial || transitions.iter().any(|arrow| arrow.to == *name);
        if !reached {
            return Err(error(
                Some(state.span()),
                format!("state {name:?} is never entered"),
            ));
        }
    }
    Ok(Chart {
        name: raw.name,
        initial,
        states,
        terminal,
        transitions,
    })
}

fn line_at(text: &str, offset: usize) -> usize {
    text.as_bytes()[..offset.min(text.len())]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
