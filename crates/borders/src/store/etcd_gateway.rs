//! Client of the etcd v3 JSON gateway.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use super::etcd_wire::{
    Compare, DeleteRequest, Operation, PutRequest, RangeRequest, RangeResponse, TxnRequest,
    TxnResponse, WatchCreate, WatchRequest, prefix_end,
};
use super::watch_reader::read_watch;
use super::{CasOutcome, CreateOutcome, KeyValueStore, StoreError, Stored};
use crate::http::{HttpClient, Reply, SendError};

const REQUEST_TIMEOUT_MS: u64 = 1_000;
const WATCH_CAPACITY: usize = 256;

/// Client of a key-value service with the etcd v3 JSON gateway.
///
/// Tries the next address if one can't be reached. A read whose answer is lost is sent again; a
/// write is not, as it may have taken effect.
#[derive(Clone, Debug)]
pub struct EtcdGateway {
    client: HttpClient,
    addresses: Vec<SocketAddr>,
    timeout_ms: u64,
}

impl EtcdGateway {
    /// Creates a client of the servers at `addresses`.
    ///
    /// ```
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// let store = EtcdGateway::new(vec!["127.0.0.1:2379".parse().unwrap()]);
    /// ```
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: HttpClient::new(),
            addresses,
            timeout_ms: REQUEST_TIMEOUT_MS,
        }
    }

    /// Sends `name` as the calling instance in every request.
    ///
    /// ```
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// let client = EtcdGateway::new(vec!["127.0.0.1:2379".parse().unwrap()]);
    /// let client = client.with_peer_name("entry-1");
    /// ```
    #[must_use]
    pub fn with_peer_name(mut self, name: &str) -> Self {
        self.client = self.client.with_peer_name(name);
        self
    }

    /// Sets the time after which an answer counts as lost.
    ///
    /// ```
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// let store = EtcdGateway::new(Vec::new()).with_timeout_ms(500);
    /// ```
    #[must_use]
    pub fn with_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    async fn range(&self, request: &RangeRequest) -> Result<Vec<Stored>, StoreError> {
        let body = encode(request)?;
        let mut last_error = no_address();
        for address in &self.addresses {
            match self
                .post::<RangeResponse>(*address, "/v3/kv/range", &body)
                .await
            {
                Ok(response) => return response.into_stored(),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn txn(&self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let body = encode(request)?;
        let mut last_error = no_address();
        for address in &self.addresses {
            match self.post(*address, "/v3/kv/txn", &body).await {
                Err(error @ StoreError::Unreachable(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<T, StoreError> {
        let request = self.client.post_json(address, path);
        let reply = self
            .client
            .send(request, body.to_owned(), self.timeout_ms)
            .await?;
        parse(&reply)
    }

    /// Writes one key conditionally; reads the key in the same transaction if the condition fails.
    async fn swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        write: Operation,
    ) -> Result<CasOutcome, StoreError> {
        let request = TxnRequest {
            compare: vec![Compare::mod_revision(key, expected_mod_revision)],
            success: vec![write],
            failure: vec![Operation::Range(RangeRequest::of_key(key))],
        };
        let response = self.txn(&request).await?;
        if response.succeeded {
            let mod_revision = response.header.revision;
            return Ok(CasOutcome::Written { mod_revision });
        }
        let current = response.into_ranges()?.into_iter().flatten().next();
        Ok(CasOutcome::Conflict { current })
    }
}

#[async_trait]
impl KeyValueStore for EtcdGateway {
    async fn get(&self, key: &str) -> Result<Option<Stored>, StoreError> {
        let found = self.range(&RangeRequest::of_key(key)).await?;
        Ok(found.into_iter().next())
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Stored>, StoreError> {
        self.range(&RangeRequest::of_prefix(prefix)).await
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected_mod_revision: u64,
        value: &[u8],
    ) -> Result<CasOutcome, StoreError> {
        let write = Operation::Put(PutRequest::new(key, value));
        self.swap(key, expected_mod_revision, write).await
    }

    async fn create_all(&self, entries: &[(String, Vec<u8>)]) -> Result<CreateOutcome, StoreError> {
        let keys = || entries.iter().map(|(key, _)| key.as_str());
        let request = TxnRequest {
            compare: keys().map(|key| Compare::mod_revision(key, 0)).collect(),
            success: entries
                .iter()
                .map(|(key, value)| Operation::Put(PutRequest::new(key, value)))
                .collect(),
            failure: keys()
                .map(|key| Operation::Range(RangeRequest::of_key(key)))
                .collect(),
        };
        let response = self.txn(&request).await?;
        if response.succeeded {
            return Ok(CreateOutcome::Created);
        }
        let found = response.into_ranges()?;
        let first = |rows: Vec<Stored>| rows.into_iter().next();
        Ok(CreateOutcome::Exists(
            found.into_iter().map(first).collect(),
        ))
    }

    async fn delete(
        &self,
        key: &str,
        expected_mod_revision: u64,
    ) -> Result<CasOutcome, StoreError> {
        let write = Operation::Delete(DeleteRequest::of_key(key));
        self.swap(key, expected_mod_revision, write).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
    ) -> Result<mpsc::Receiver<Stored>, StoreError> {
        let body = encode(&WatchRequest {
            create_request: WatchCreate {
                key: prefix.as_bytes().to_vec(),
                range_end: prefix_end(prefix.as_bytes()),
                start_revision: after_revision + 1,
            },
        })?;
        let mut last_error = no_address();
        for address in &self.addresses {
            let request = self.client.post_json(*address, "/v3/watch");
            let started = self
                .client
                .start(request, body.clone(), self.timeout_ms)
                .await;
            match started {
                Ok(response) if response.status().is_success() => {
                    let (sender, writes) = mpsc::channel(WATCH_CAPACITY);
                    tokio::spawn(read_watch(response.into_body(), sender));
                    return Ok(writes);
                }
                Ok(response) => {
                    let status = response.status().as_u16();
                    last_error = StoreError::Refused(format!("status {status} to a watch"));
                }
                Err(error) => last_error = error.into(),
            }
        }
        Err(last_error)
    }
}

impl From<SendError> for StoreError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::NotSent(text) => Self::Unreachable(text),
            SendError::AnswerLost(text) => Self::AnswerLost(text),
        }
    }
}

fn no_address() -> StoreError {
    StoreError::Unreachable("no address is set".to_owned())
}

fn encode(request: &impl serde::Serialize) -> Result<String, StoreError> {
    serde_json::to_string(request).map_err(|error| StoreError::Refused(error.to_string()))
}

fn parse<T: DeserializeOwned>(reply: &Reply) -> Result<T, StoreError> {
    if reply.status.is_success() {
        return serde_json::from_slice(&reply.body).map_err(|error| {
            StoreError::AnswerLost(format!("the answer is not readable: {error}"))
        });
    }
    // The write may have taken effect despite a server error, such as a timeout within the service.
    if reply.status.is_server_error() && !reply.reports_not_run() {
        return Err(StoreError::AnswerLost(reply.summary()));
    }
    Err(StoreError::Refused(reply.summary()))
}
