//! Checks the outcomes reported to callers against the executions recorded by the runners.

use super::{result::Tally, send::RequestOutcome};
use crate::Error;
use reqwest::Client;
use serde::Deserialize;
use std::collections::HashMap;

#[derive(Deserialize)]
struct Executions {
    executions: HashMap<String, u64>,
}

/// Returns one line per violated delivery guarantee, at most `VIOLATIONS_MAX` of them.
pub(crate) async fn audit(
    client: &Client,
    runners: &[String],
    tally: &Tally,
) -> Result<Vec<String>, Error> {
    const VIOLATIONS_MAX: usize = 20;
    let mut executions: HashMap<String, u64> = HashMap::new();
    for runner in runners {
        let url = format!("http://{runner}/control/executions");
        let answer = client
            .get(url)
            .send()
            .await
            .map_err(|err| Error::new("audit", err))?;
        let report: Executions = answer
            .json()
            .await
            .map_err(|err| Error::new("audit", err))?;
        for (id, count) in report.executions {
            *executions.entry(id).or_default() += count;
        }
    }
    let mut violations = Vec::new();
    for (id, post, outcome) in &tally.outcomes {
        let count = executions.get(id).copied().unwrap_or(0);
        let violation = match outcome {
            RequestOutcome::Wrong => Some("received a response that does not match it"),
            _ if runners.is_empty() => None,
            RequestOutcome::NotRun | RequestOutcome::NotSent if count > 0 => {
                Some("was reported as not run but was executed")
            }
            RequestOutcome::Answered if count == 0 => Some("was answered without being executed"),
            _ if *post && count > 1 => Some("is not idempotent and was executed more than once"),
            _ => None,
        };
        violations
            .extend(violation.map(|text| format!("request {id} {text} ({count} executions)")));
    }
    violations.truncate(VIOLATIONS_MAX);
    Ok(violations)
}
