//! Client of the state service: reads, transactions and leases.

use crate::http::{CallError, Client, HttpResponse};
use crate::net::Net;
use copperhaven_core::records::{Change, Condition};
use copperhaven_wire::encode;
use hyper::Method;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Error of a read or a lease call to the state service.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The service answered with this unexpected HTTP status.
    #[error("state service refuses: status {0}")]
    Status(u16),
    /// The call got no response.
    #[error("state service: {0}")]
    Call(#[from] CallError),
    /// The body of the response could not be decoded.
    #[error("state service: malformed answer")]
    Malformed,
    /// The service answered, but the value is not what this release writes under the key.
    #[error(
        "the record {key} (version {revision}) can't be read: mend it or have the version that wrote it lead"
    )]
    Unreadable {
        /// The key of the record.
        key: String,
        /// The revision of the record.
        revision: u64,
    },
}

/// Outcome of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied at this revision.
    Applied(u64),
    /// A condition failed: these keys have other revisions than expected.
    Conflict(Vec<String>),
    /// The lease of a put has expired.
    LeaseExpired,
    /// Certainly not executed: the service is unavailable or the request was not sent.
    Unavailable,
    /// Rejected as malformed or too large; a retry without changes can never succeed.
    Malformed,
    /// Not executed: the service's limit of changes per second is exceeded.
    RateLimited,
    /// Unknown: the transaction may have been executed, or may still be.
    Unknown,
}

#[derive(Deserialize)]
struct Item<T> {
    #[serde(default)]
    path: String,
    #[serde(rename = "v")]
    value: T,
    #[serde(rename = "stamp")]
    revision: u64,
    #[serde(default)]
    #[serde(rename = "charter")]
    lease_id: Option<u64>,
}

#[derive(Deserialize)]
struct Page<T> {
    #[serde(rename = "pairs")]
    items: Vec<Item<T>>,
    #[serde(default)]
    more: bool,
}

/// A value of the expected type (`Good`), or anything else (`Bad`).
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Good(T),
    Bad(IgnoredAny),
}

impl<T: DeserializeOwned> Page<Lenient<T>> {
    /// Decodes a page. Tries the strict form first: usually every value is valid, and lenient decoding
    /// takes twice as long.
    fn decode(body: &[u8]) -> Option<Self> {
        if let Ok(Page { items, more }) = rmp_serde::from_slice::<Page<T>>(body) {
            let good = |i: Item<T>| Item {
                path: i.path,
                value: Lenient::Good(i.value),
                revision: i.revision,
                lease_id: i.lease_id,
            };
            return Some(Page { items: items.into_iter().map(good).collect(), more });
        }
        rmp_serde::from_slice(body).ok()
    }
}

/// All records under a prefix.
#[derive(Debug)]
pub struct Listing<T> {
    /// Path, value and revision of each record.
    pub rows: Vec<(String, T, u64)>,
    /// Path and revision of each record whose value can't be decoded.
    pub unreadable: Vec<(String, u64)>,
}

/// Client of the state service.
pub struct Store {
    http: Client,
    addr: String,
}

/// Items requested per page, the maximum of the state service; it may return fewer.
const PAGE_LIMIT: usize = 1000;

/// Time limit of reads, and of calls that grant or revoke a lease.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit of a transaction.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);

impl Store {
    /// Returns a client of the state service at `addr` that keeps up to six idle connections.
    pub fn new(net: Net, addr: String) -> Store {
        Store { http: Client::with_net(net, 6), addr }
    }

    fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
        response.decode().ok_or(StoreError::Malformed)
    }

    /// Reads a key: its value and revision, or `None` if it does not exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, u64)>, StoreError> {
        Ok(self.get_with_lease(key).await?.map(|(value, revision, _)| (value, revision)))
    }

    /// Reads a key: its value, its revision and the id of the lease that it is bound to, if any.
    pub async fn get_with_lease<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, u64, Option<u64>)>, StoreError> {
        let response = self.http.get(&self.addr, &format!("/store/{key}"), READ_TIMEOUT).await?;
        match response.status {
            200 => {
                if let Ok(item) = rmp_serde::from_slice::<Item<T>>(&response.body) {
                    return Ok(Some((item.value, item.revision, item.lease_id)));
                }
                let item: Item<IgnoredAny> = Self::decode(&response)?;
                Err(StoreError::Unreadable { key: key.into(), revision: item.revision })
            }
            404 => Ok(None),
            s => Err(StoreError::Status(s)),
        }
    }

    /// Reads the first `limit` records under a prefix and returns the values that can be decoded.
    pub async fn first_values<T: DeserializeOwned>(
        &self,
        prefix: &str,
        limit: usize,
    ) -> Result<Vec<T>, StoreError> {
        let path = format!("/store?prefix={prefix}&limit={limit}");
        let response = self.http.get(&self.addr, &path, READ_TIMEOUT).await?;
        if response.status != 200 {
            return Err(StoreError::Status(response.status));
        }
        let page = Page::decode(&response.body).ok_or(StoreError::Malformed)?;
        let good = |i: Item<Lenient<T>>| match i.value {
            Lenient::Good(value) => Some(value),
            Lenient::Bad(_) => None,
        };
        Ok(page.items.into_iter().filter_map(good).collect())
    }

    /// Reads one page of the keys under a prefix, after the key `since`; and whether there are more.
    pub async fn list_keys(
        &self,
        prefix: &str,
        since: Option<&str>,
    ) -> Result<(Vec<String>, bool), StoreError> {
        let since = since.map(|p| format!("&since={p}")).unwrap_or_default();
        let path = format!("/store?prefix={prefix}{since}&limit={PAGE_LIMIT}");
        let response = self.http.get(&self.addr, &path, READ_TIMEOUT).await?;
        if response.status != 200 {
            return Err(StoreError::Status(response.status));
        }
        let page: Page<IgnoredAny> = Self::decode(&response)?;
        Ok((page.items.into_iter().map(|i| i.path).collect(), page.more))
    }

    /// Reads all records under a prefix. A record that can't be decoded doesn't affect the others.
    pub async fn list<T: DeserializeOwned>(&self, prefix: &str) -> Result<Listing<T>, StoreError> {
        let mut out = Listing { rows: vec![], unreadable: vec![] };
        let mut last: Option<String> = None;
        loop {
            let since = last.map(|p| format!("&since={p}")).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{since}&limit={PAGE_LIMIT}");
            let response = self.http.get(&self.addr, &path, READ_TIMEOUT).await?;
            if response.status != 200 {
                return Err(StoreError::Status(response.status));
            }
            let page = Page::decode(&response.body).ok_or(StoreError::Malformed)?;
            last = page.items.last().map(|i| i.path.clone());
            let end = !page.more || last.is_none();
            for Item { path, value, revision, .. } in page.items {
                match value {
                    Lenient::Good(value) => out.rows.push((path, value, revision)),
                    Lenient::Bad(_) => out.unreadable.push((path, revision)),
                }
            }
            if end {
                return Ok(out);
            }
        }
    }

    /// Applies the changes in one transaction if all conditions hold.
    pub async fn commit(&self, when: &[Condition], apply: &[Change]) -> CommitOutcome {
        #[derive(Serialize)]
        struct Body<'a> {
            when: &'a [Condition],
            apply: &'a [Change],
        }
        #[derive(Deserialize)]
        struct Applied {
            #[serde(rename = "ledgerRev")]
            revision: u64,
        }
        #[derive(Deserialize)]
        struct Failed {
            #[serde(rename = "failed")]
            failed_keys: Vec<String>,
        }
        let body = encode(&Body { when, apply });
        match self.http.call(Method::POST, &self.addr, "/commit", Some(body), COMMIT_TIMEOUT).await
        {
            Ok(a) => match a.status {
                200 => a
                    .decode::<Applied>()
                    .map_or(CommitOutcome::Unknown, |a| CommitOutcome::Applied(a.revision)),
                409 => a
                    .decode::<Failed>()
                    .map_or(CommitOutcome::Unknown, |f| CommitOutcome::Conflict(f.failed_keys)),
                400 => {
                    let text = String::from_utf8_lossy(&a.body);
                    if text.contains("no such lease") {
                        CommitOutcome::LeaseExpired
                    } else {
                        tracing::error!(
                            "state service rejected a transaction as malformed: {text}"
                        );
                        CommitOutcome::Malformed
                    }
                }
                429 => CommitOutcome::RateLimited,
                503 => CommitOutcome::Unavailable,
                _ => CommitOutcome::Unknown,
            },
            Err(CallError::NotSent(_)) => CommitOutcome::Unavailable,
            Err(CallError::OutcomeUnknown(_)) => CommitOutcome::Unknown,
        }
    }

    /// Creates a lease with a time to live of `ttl_ms` milliseconds and returns its id.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
        #[derive(Serialize)]
        #[serde(rename_all = "camelCase")]
        struct Body {
            ttl_ms: u64,
        }
        #[derive(Deserialize)]
        struct Granted {
            #[serde(rename = "charter")]
            lease_id: u64,
        }
        let response =
            self.http.post(&self.addr, "/leases", &Body { ttl_ms }, READ_TIMEOUT).await?;
        match response.status {
            200 | 201 => Ok(Self::decode::<Granted>(&response)?.lease_id),
            s => Err(StoreError::Status(s)),
        }
    }

    /// Renews a lease within `time_limit`. Returns false if the lease no longer exists.
    pub async fn renew_lease(&self, id: u64, time_limit: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{id}/extend");
        let empty = std::collections::BTreeMap::<String, u64>::new();
        let response = self.http.post(&self.addr, &path, &empty, time_limit).await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            s => Err(StoreError::Status(s)),
        }
    }

    /// Revokes a lease. Errors are ignored: the lease then expires by itself.
    pub async fn revoke_lease(&self, id: u64) {
        let path = format!("/leases/{id}");
        let _ = self.http.call(Method::DELETE, &self.addr, &path, None, READ_TIMEOUT).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use copperhaven_core::records::{DependenciesRecord, RentalRecord};
    use copperhaven_core::records::{DoneTasksRecord, FinalRecord, JobRecord, MachineRecord};
    use std::collections::BTreeMap;

    /// Encodes a page of the given paths and values.
    fn page(values: &[(&str, serde_json::Value)]) -> Vec<u8> {
        let item = |(n, (path, v)): (usize, &(&str, serde_json::Value))| serde_json::json!({"path": path, "v": v, "stamp": n});
        let pairs: Vec<_> = values.iter().enumerate().map(item).collect();
        encode(&BTreeMap::from([
            ("pairs", serde_json::json!(pairs)),
            ("more", serde_json::json!(true)),
            ("ledgerRev", serde_json::json!(9)),
        ]))
    }

    /// Decodes a page: the number of readable records, the paths of the unreadable ones, and `more`.
    fn decode_page<T: DeserializeOwned>(body: &[u8]) -> (usize, Vec<String>, bool) {
        let page = Page::<Lenient<T>>::decode(body).expect("a page");
        let good = page.items.iter().filter(|i| matches!(i.value, Lenient::Good(_))).count();
        let bad = page.items.into_iter().filter(|i| matches!(i.value, Lenient::Bad(_)));
        (good, bad.map(|i| i.path).collect(), page.more)
    }

    #[test]
    fn an_unreadable_record_does_not_affect_the_others_of_its_page() {
        // A single bad value used to fail the whole page, and with it every takeover from then on.
        let valid = [
            serde_json::json!({"r": [0, 3]}),
            serde_json::json!({"done": true, "tasks": 3}),
            serde_json::json!({"on": ["wk-1"]}),
            serde_json::json!({"berth": "b", "yard": "y", "spot": true, "number": 3}),
            serde_json::json!({"addr": "a", "berth": "b", "yard": "y", "spot": true, "shift": 1, "on": []}),
        ];
        let invalid = [
            serde_json::json!(null),
            serde_json::json!(7),
            serde_json::json!("text"),
            serde_json::json!([1, 2]),
            serde_json::json!({}),
            serde_json::json!({"r": "x", "done": 1, "on": 3, "number": -1, "job": {}}),
        ];
        for invalid in invalid {
            let all = |i: usize| {
                page(&[
                    ("x/1", valid[i].clone()),
                    ("x/2", invalid.clone()),
                    ("x/3", valid[i].clone()),
                ])
            };
            let expect = (2, vec!["x/2".to_string()], true);
            assert_eq!(decode_page::<DoneTasksRecord>(&all(0)), expect, "{invalid}");
            assert_eq!(decode_page::<FinalRecord>(&all(1)), expect, "{invalid}");
            assert_eq!(decode_page::<DependenciesRecord>(&all(2)), expect, "{invalid}");
            assert_eq!(decode_page::<RentalRecord>(&all(3)), expect, "{invalid}");
            assert_eq!(decode_page::<MachineRecord>(&all(4)), expect, "{invalid}");
            let jobs = page(&[("j/wk-1", invalid.clone())]);
            assert_eq!(
                decode_page::<JobRecord>(&jobs),
                (0, vec!["j/wk-1".to_string()], true),
                "{invalid}"
            );
        }
        assert!(
            Page::<Lenient<DoneTasksRecord>>::decode(b"\x93\x01").is_none(),
            "a truncated page must not decode"
        );
    }
}
