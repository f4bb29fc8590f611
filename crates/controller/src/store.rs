//! The state service by its protocol: reads, transactions, leases.

use crate::http::{Answer, CallError, Client};
use copperhaven_core::records::{Change, Cond};
use copperhaven_wire::encode;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("state service refuses: status {0}")]
    Status(u16),
    #[error("state service: {0}")]
    Call(#[from] CallError),
    #[error("state service: malformed answer")]
    Malformed,
}

/// What became of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Applied, at this revision.
    Applied(u64),
    /// A condition failed; these keys have other versions.
    Conflict(Vec<String>),
    /// The lease of a put has run out.
    NoLease,
    /// Surely not executed.
    Refused,
    /// Called malformed, or larger than the service takes: it will never be executed as it is.
    Malformed,
    /// Not executed: more changes in a second than the service takes.
    TooMany,
    /// Perhaps executed, perhaps later.
    Unknown,
}

#[derive(Deserialize)]
struct Item<T> {
    #[serde(default)]
    path: String,
    v: T,
    stamp: u64,
}

pub struct Store {
    http: Client,
    addr: String,
}

const READ: Duration = Duration::from_millis(1500);
const COMMIT: Duration = Duration::from_millis(1500);

impl Store {
    pub fn new(addr: String) -> Store {
        Store { http: Client::new(6), addr }
    }

    fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
        answer.decode().ok_or(StoreError::Malformed)
    }

    /// A key's value and version; none if it does not exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, u64)>, StoreError> {
        let answer = self.http.get(&self.addr, &format!("/store/{key}"), READ).await?;
        match answer.status {
            200 => {
                let item: Item<T> = Self::decode(&answer)?;
                Ok(Some((item.v, item.stamp)))
            }
            404 => Ok(None),
            s => Err(StoreError::Status(s)),
        }
    }

    /// Every key with the prefix: path, value, version.
    pub async fn list<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, T, u64)>, StoreError> {
        #[derive(Deserialize)]
        struct Page<T> {
            pairs: Vec<Item<T>>,
            #[serde(default)]
            more: bool,
        }
        let mut out: Vec<(String, T, u64)> = Vec::new();
        loop {
            let since = out.last().map(|(p, ..)| format!("&since={p}")).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{since}&limit=300");
            let answer = self.http.get(&self.addr, &path, READ).await?;
            if answer.status != 200 {
                return Err(StoreError::Status(answer.status));
            }
            let page: Page<T> = Self::decode(&answer)?;
            let end = !page.more || page.pairs.is_empty();
            out.extend(page.pairs.into_iter().map(|i| (i.path, i.v, i.stamp)));
            if end {
                return Ok(out);
            }
        }
    }

    pub async fn commit(&self, when: &[Cond], apply: &[Change]) -> Outcome {
        #[derive(Serialize)]
        struct Body<'a> {
            when: &'a [Cond],
            apply: &'a [Change],
        }
        #[derive(Deserialize)]
        struct Rev {
            #[serde(rename = "ledgerRev")]
            rev: u64,
        }
        #[derive(Deserialize)]
        struct Failed {
            failed: Vec<String>,
        }
        let body = encode(&Body { when, apply });
        match self.http.call(Method::POST, &self.addr, "/commit", Some(body), COMMIT).await {
            Ok(a) => match a.status {
                200 => a.decode::<Rev>().map_or(Outcome::Unknown, |r| Outcome::Applied(r.rev)),
                409 => {
                    a.decode::<Failed>().map_or(Outcome::Unknown, |f| Outcome::Conflict(f.failed))
                }
                400 => {
                    let text = String::from_utf8_lossy(&a.body);
                    if text.contains("no such lease") {
                        Outcome::NoLease
                    } else {
                        tracing::error!("state service calls a transaction malformed: {text}");
                        Outcome::Malformed
                    }
                }
                429 => Outcome::TooMany,
                503 => Outcome::Refused,
                _ => Outcome::Unknown,
            },
            Err(CallError::Refused(_)) => Outcome::Refused,
            Err(CallError::Lost(_)) => Outcome::Unknown,
        }
    }

    pub async fn lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        #[derive(Serialize)]
        #[serde(rename_all = "camelCase")]
        struct Body {
            ttl_ms: u64,
        }
        #[derive(Deserialize)]
        struct Granted {
            charter: u64,
        }
        let answer = self.http.post(&self.addr, "/leases", &Body { ttl_ms }, READ).await?;
        match answer.status {
            200 | 201 => Ok(Self::decode::<Granted>(&answer)?.charter),
            s => Err(StoreError::Status(s)),
        }
    }

    /// Renews a lease; false if it is no more.
    pub async fn extend(&self, id: u64, limit: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{id}/extend");
        let none = std::collections::BTreeMap::<String, u64>::new();
        let answer = self.http.post(&self.addr, &path, &none, limit).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            s => Err(StoreError::Status(s)),
        }
    }

    pub async fn end_lease(&self, id: u64) {
        let path = format!("/leases/{id}");
        let _ = self.http.call(Method::DELETE, &self.addr, &path, None, READ).await;
    }
}
