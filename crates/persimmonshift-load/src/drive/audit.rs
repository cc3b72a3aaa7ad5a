//! Holds what callers were told against what the runners did.

use super::{result::Tally, send::Seen};
use crate::Error;
use reqwest::Client;
use serde::Deserialize;
use std::collections::HashMap;

#[derive(Deserialize)]
struct Executions {
    executions: HashMap<String, u64>,
}

/// The promises that were broken, one line each; the first few of a kind.
pub(crate) async fn audit(
    client: &Client,
    runners: &[String],
    tally: &Tally,
) -> Result<Vec<String>, Error> {
    const FAULTS_MAX: usize = 20;
    let mut ran: HashMap<String, u64> = HashMap::new();
    for runner in runners {
        let url = format!("http://{runner}/control/executions");
        let answer = client
            .get(url)
            .send()
            .await
            .map_err(|err| Error::new("audit", err))?;
        let seen: Executions = answer
            .json()
            .await
            .map_err(|err| Error::new("audit", err))?;
        for (id, count) in seen.executions {
            *ran.entry(id).or_default() += count;
        }
    }
    let mut faults = Vec::new();
    for (id, post, seen) in &tally.seen {
        let count = ran.get(id).copied().unwrap_or(0);
        let fault = match seen {
            Seen::Wrong => Some("got an answer that is not its own"),
            _ if runners.is_empty() => None,
            Seen::NotRun | Seen::NotSent if count > 0 => Some("was told not run, and ran"),
            Seen::Answered if count == 0 => Some("was answered, and did not run"),
            _ if *post && count > 1 => Some("is not idempotent, and ran more than once"),
            _ => None,
        };
        faults.extend(fault.map(|text| format!("request {id} {text} ({count} runs)")));
    }
    faults.truncate(FAULTS_MAX);
    Ok(faults)
}
