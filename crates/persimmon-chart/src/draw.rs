use crate::Chart;
use std::fmt::{self, Display};

/// Formats a chart as a Mermaid state diagram.
impl Display for Chart {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "stateDiagram-v2")?;
        writeln!(out, "    [*] --> {}", self.initial)?;
        for transition in &self.transitions {
            writeln!(
                out,
                "    {} --> {}: {}",
                transition.from, transition.to, transition.on
            )?;
        }
        for state in &self.terminal {
            writeln!(out, "    {state} --> [*]")?;
        }
        Ok(())
    }
}
