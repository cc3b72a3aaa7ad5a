use crate::Chart;
use std::fmt::{self, Display};

/// Draws a chart as a Mermaid state diagram.
impl Display for Chart {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "stateDiagram-v2")?;
        writeln!(out, "    [*] --> {}", self.initial)?;
        for arrow in &self.transitions {
            writeln!(out, "    {} --> {}: {}", arrow.from, arrow.to, arrow.on)?;
        }
        for state in &self.terminal {
            writeln!(out, "    {state} --> [*]")?;
        }
        Ok(())
    }
}
