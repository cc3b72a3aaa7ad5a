//! Calls to a daemon.

use persimmon_wire::api::{ErrorBody, RunStatus};
use reqwest::{Client, Method};
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;

/// A command that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// What was typed, or a file that was named, can't be used.
    #[error("{0}")]
    Usage(String),
    /// The daemon could not be reached; nothing was sent.
    #[error("{step}: daemon {peer}: {reason}")]
    Unreachable {
        step: String,
        peer: String,
        reason: String,
    },
    /// The call was sent and no whole answer came.
    #[error("{step}: daemon {peer}: {reason}; not known whether it ran")]
    Lost {
        step: String,
        peer: String,
        reason: String,
    },
    /// The daemon's own answer.
    #[error("{}: {}: {} ({})", .0.step, .0.peer, .0.message, .0.ran.as_str())]
    Refused(ErrorBody),
}

impl Error {
    /// The process's exit code.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Unreachable { .. } => 1,
            Self::Lost { .. } => 3,
            Self::Refused(body) if body.ran == RunStatus::Unknown => 3,
            Self::Refused(_) => 1,
        }
    }
}

/// A daemon's interface.
pub(crate) struct Daemon {
    client: Client,
    address: String,
    token: String,
}

impl Daemon {
    pub(crate) fn new(address: String, token: String, timeout: Duration) -> Result<Self, Error> {
        let built = Client::builder().no_proxy().timeout(timeout).build();
        let client = built.map_err(|err| Error::Usage(err.to_string()))?;
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
        let sent = request.send().await;
        let response = sent.map_err(|err| {
            let (step, peer, connect) = (step.clone(), peer.clone(), err.is_connect());
            let reason = err.without_url().to_string();
            match connect {
                true => Error::Unreachable { step, peer, reason },
                false => Error::Lost { step, peer, reason },
            }
        })?;
        let ok = response.status().is_success();
        let status = response.status();
        let read = response.bytes().await;
        let lost = |reason: String| Error::Lost { step, peer, reason };
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(err) => return Err(lost(err.without_url().to_string())),
        };
        if ok {
            return serde_json::from_slice(&bytes).map_err(|err| lost(err.to_string()));
        }
        match serde_json::from_slice(&bytes) {
            Ok(body) => Err(Error::Refused(body)),
            Err(_) => Err(lost(format!("status {status}"))),
        }
    }
}
