//! HTTP client of the instance list.

use std::net::SocketAddr;

use async_trait::async_trait;

use super::{InstanceList, InstanceListError, ReadList};
use crate::http::{HttpClient, Reply};

const TIMEOUT_MS: u64 = 2_000;

/// Reads the list by `GET /instances` from the first address that answers.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    client: HttpClient,
    addresses: Vec<SocketAddr>,
}

impl HttpInstanceList {
    /// Creates a client of the servers at `addresses`.
    ///
    /// ```
    /// # use monsoonspread_borders::instance_list::HttpInstanceList;
    /// let list = HttpInstanceList::new(vec!["127.0.0.1:9000".parse().unwrap()]);
    /// ```
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: HttpClient::new(),
            addresses,
        }
    }

    /// Sends `name` as the calling instance in every request.
    ///
    /// ```
    /// # use monsoonspread_borders::instance_list::HttpInstanceList;
    /// let client = HttpInstanceList::new(vec!["127.0.0.1:9000".parse().unwrap()]);
    /// let client = client.with_peer_name("entry-1");
    /// ```
    #[must_use]
    pub fn with_peer_name(mut self, name: &str) -> Self {
        self.client = self.client.with_peer_name(name);
        self
    }

    async fn list_at(&self, address: SocketAddr) -> Result<ReadList, InstanceListError> {
        let request = self.client.request("GET", address, "/instances");
        let reply = self
            .client
            .send(request, "", TIMEOUT_MS)
            .await
            .map_err(|error| InstanceListError(error.to_string()))?;
        parse(&reply)
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn list(&self) -> Result<ReadList, InstanceListError> {
        let mut last_error = InstanceListError("no address is set".to_owned());
        for address in &self.addresses {
            match self.list_at(*address).await {
                Ok(list) => return Ok(list),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }
}

fn parse(reply: &Reply) -> Result<ReadList, InstanceListError> {
    if !reply.status.is_success() {
        return Err(InstanceListError(reply.summary()));
    }
    if let Ok(instances) = serde_json::from_slice(&reply.body) {
        return Ok(ReadList {
            instances,
            ..ReadList::default()
        });
    }
    let rows = serde_json::from_slice(&reply.body);
    rows.map(ReadList::from_rows)
        .map_err(|error| InstanceListError(error.to_string()))
}
