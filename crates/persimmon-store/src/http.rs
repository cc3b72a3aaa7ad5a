use crate::{CasOutcome, Effect, Error, LeaseId, Store, WatchOutcome};
use persimmon_wire::store::{
    CasRequest, CasResponse, Entry, GrantRequest, Lease as LeaseBody, RangeResponse,
};
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// A [`Store`] that calls the platform's key-value store over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    address: String,
    timeout: Duration,
    call_count: AtomicU64,
}

impl HttpStore {
    /// Creates a client of the store at `address` (`IP:PORT`). `timeout` applies to each call; to a
    /// watch, it applies in addition to the wait.
    pub fn new(client: Client, address: String, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
            call_count: AtomicU64::new(0),
        }
    }

    /// The number of calls made so far, watches included.
    pub fn call_count(&self) -> u64 {
        self.call_count.load(Ordering::Relaxed)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn error(&self, step: &'static str, reason: String, effect: Effect) -> Error {
        Error {
            step,
            peer: self.address.clone(),
            reason,
            effect,
        }
    }

    /// Sends a request whose answer has a success status, or the status `expected` for this call.
    async fn send(
        &self,
        step: &'static str,
        request: RequestBuilder,
        timeout: Duration,
        expected: Option<StatusCode>,
    ) -> Result<Response, Error> {
        self.call_count.fetch_add(1, Ordering::Relaxed);
        let outcome = request.timeout(timeout).send().await;
        let response = outcome.map_err(|err| {
            let effect = if err.is_connect() {
                Effect::None
            } else {
                Effect::Unknown
            };
            self.error(step, err.without_url().to_string(), effect)
        })?;
        let status = response.status();
        if status.is_success() || Some(status) == expected {
            return Ok(response);
        }
        let rejected = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
        let effect = if rejected {
            Effect::None
        } else {
            Effect::Unknown
        };
        Err(self.error(step, format!("status {status}"), effect))
    }

    async fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        response: Response,
    ) -> Result<T, Error> {
        let status = response.status();
        response.json().await.map_err(|err| {
            let reason = format!("status {status}: {}", err.without_url());
            self.error(step, reason, Effect::Unknown)
        })
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = self.client.get(self.url("/v1/kv")).query(&[("key", key)]);
        let response = self
            .send("get", request, self.timeout, Some(StatusCode::NOT_FOUND))
            .await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        self.decode("get", response).await.map(Some)
    }

    async fn range(&self, prefix: &str) -> Result<RangeResponse, Error> {
        let request = self
            .client
            .get(self.url("/v1/range"))
            .query(&[("prefix", prefix)]);
        let response = self.send("range", request, self.timeout, None).await?;
        self.decode("range", response).await
    }

    async fn cas(&self, cas: &CasRequest) -> Result<CasOutcome, Error> {
        let request = self.client.post(self.url("/v1/cas")).json(cas);
        let response = self
            .send("cas", request, self.timeout, Some(StatusCode::CONFLICT))
            .await?;
        let conflict = response.status() == StatusCode::CONFLICT;
        let CasResponse { revision } = self.decode("cas", response).await?;
        if conflict {
            return Ok(CasOutcome::Conflict { revision });
        }
        Ok(CasOutcome::Written { revision })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = GrantRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let request = self.client.post(self.url("/v1/lease")).json(&body);
        let response = self.send("grant", request, self.timeout, None).await?;
        let LeaseBody { lease } = self.decode("grant", response).await?;
        Ok(LeaseId(lease))
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, Error> {
        let body = LeaseBody { lease: lease.0 };
        let request = self.client.post(self.url("/v1/lease/renew")).json(&body);
        let response = self
            .send("renew", request, self.timeout, Some(StatusCode::NOT_FOUND))
            .await?;
        Ok(response.status().is_success())
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let body = LeaseBody { lease: lease.0 };
        let request = self.client.post(self.url("/v1/lease/revoke")).json(&body);
        self.send("revoke", request, self.timeout, Some(StatusCode::NOT_FOUND))
            .await
            .map(drop)
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, Error> {
        let after = revision.to_string();
        let wait_ms = wait.as_millis().to_string();
        let query = [("prefix", prefix), ("after", &after), ("wait_ms", &wait_ms)];
        let request = self.client.get(self.url("/v1/watch")).query(&query);
        let response = self
            .send(
                "watch",
                request,
                wait + self.timeout,
                Some(StatusCode::GONE),
            )
            .await?;
        if response.status() == StatusCode::GONE {
            return Ok(WatchOutcome::Compacted);
        }
        self.decode("watch", response)
            .await
            .map(WatchOutcome::Changes)
    }
}
