//! A client of the daemon's HTTP API.

use persimmon_wire::api::{ErrorBody, RunStatus};
use reqwest::{Client, Method};
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;

/// The error of a failed command.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The tool failed on its own side: an argument, or a file named by one, can't be used, or the
    /// keys, the HTTP client or the async runtime can't be created.
    #[error("{0}")]
    Usage(String),
    /// The connection to the daemon failed; nothing was sent.
    #[error("{step}: daemon {peer}: {reason}")]
    Unreachable {
        step: String,
        peer: String,
        reason: String,
    },
    /// The request was sent, but no complete and valid answer was received; it may have taken
    /// effect.
    #[error("{step}: daemon {peer}: {reason}; not known whether it ran")]
    OutcomeUnknown {
        step: String,
        peer: String,
        reason: String,
    },
    /// The daemon answered with an error.
    #[error("{}: {}: {} ({})", .0.step, .0.peer, .0.message, .0.ran.as_str())]
    Refused(ErrorBody),
}

impl Error {
    /// The exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 1,
            Self::OutcomeUnknown { .. } => 3,
            Self::Refused(body) if body.ran == RunStatus::Unknown => 3,
            Self::Refused(_) => 1,
        }
    }
}

/// A client of one daemon.
pub(crate) struct DaemonClient {
    client: Client,
    address: String,
    token: String,
}

impl DaemonClient {
    pub(crate) fn new(address: String, token: String, timeout: Duration) -> Result<Self, Error> {
        let client = Client::builder().no_proxy().timeout(timeout).build();
        let client = client.map_err(|err| Error::Usage(err.to_string()))?;
        Ok(Self {
            client,
            address,
            token,
        })
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, String::new()).await
    }

    pub(crate) async fn delete<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::DELETE, path, String::new()).await
    }

    pub(crate) async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        self.call(
            Method::POST,
            path,
            serde_json::to_string(body).unwrap_or_default(),
        )
        .await
    }

    pub(crate) async fn post_text<T: DeserializeOwned>(
        &self,
        path: &str,
        body: String,
    ) -> Result<T, Error> {
        self.call(Method::POST, path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, Error> {
        let (step, peer) = (format!("{method} {path}"), self.address.clone());
        let request = self
            .client
            .request(method, format!("http://{}{path}", self.address))
            .bearer_auth(&self.token)
            .header("content-type", "application/json")
            .body(body);
        let outcome = request.send().await;
        let response = outcome.map_err(|err| {
            let (step, peer, is_connect) = (step.clone(), peer.clone(), err.is_connect());
            let reason = err.without_url().to_string();
            match is_connect {
                true => Error::Unreachable { step, peer, reason },
                false => Error::OutcomeUnknown { step, peer, reason },
            }
        })?;
        let is_success = response.status().is_success();
        let status = response.status();
        let read = response.bytes().await;
        let outcome_unknown = |reason: String| Error::OutcomeUnknown { step, peer, reason };
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(err) => return Err(outcome_unknown(err.without_url().to_string())),
        };
        if is_success {
            return serde_json::from_slice(&bytes).map_err(|err| outcome_unknown(err.to_string()));
        }
        match serde_json::from_slice(&bytes) {
            Ok(body) => Err(Error::Refused(body)),
            Err(_) => Err(outcome_unknown(format!("status {status}"))),
        }
    }
}
