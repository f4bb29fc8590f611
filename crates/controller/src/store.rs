//! The state service by its protocol: reads, transactions, leases.

use crate::http::{CallError, Client, HttpResponse};
use crate::net::Net;
use copperhaven_core::records::{Change, Condition};
use copperhaven_wire::encode;
use hyper::Method;
use serde::de::{DeserializeOwned, IgnoredAny};
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
    /// The service answered; what stands under the key is not what this version writes there.
    #[error(
        "the record {key} (version {stamp}) can't be read: mend it or have the version that wrote it lead"
    )]
    Unreadable { key: String, stamp: u64 },
}

/// What became of a transaction.
#[derive(Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// Applied, at this revision.
    Applied(u64),
    /// A condition failed; these keys have other versions.
    Conflict(Vec<String>),
    /// The lease of a put has run out.
    LeaseExpired,
    /// Surely not executed.
    Unavailable,
    /// Called malformed, or larger than the service takes: it will never be executed as it is.
    Malformed,
    /// Not executed: more changes in a second than the service takes.
    RateLimited,
    /// Perhaps executed, perhaps later.
    Unknown,
}

#[derive(Deserialize)]
struct Item<T> {
    #[serde(default)]
    path: String,
    v: T,
    stamp: u64,
    #[serde(default)]
    charter: Option<u64>,
}

#[derive(Deserialize)]
struct Page<T> {
    pairs: Vec<Item<T>>,
    #[serde(default)]
    more: bool,
}

/// A value of the expected kind, or any other.
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Good(T),
    Bad(IgnoredAny),
}

impl<T: DeserializeOwned> Page<Lenient<T>> {
    /// Mostly all values are sound, and reading them leniently takes twice as long.
    fn read(body: &[u8]) -> Option<Self> {
        if let Ok(Page { pairs, more }) = rmp_serde::from_slice::<Page<T>>(body) {
            let good = |i: Item<T>| Item {
                path: i.path,
                v: Lenient::Good(i.v),
                stamp: i.stamp,
                charter: i.charter,
            };
            return Some(Page { pairs: pairs.into_iter().map(good).collect(), more });
        }
        rmp_serde::from_slice(body).ok()
    }
}

/// The keys with a prefix: path, value, version; and path and version of those that can't be read.
#[derive(Debug)]
pub struct Listing<T> {
    pub rows: Vec<(String, T, u64)>,
    pub unreadable: Vec<(String, u64)>,
}

pub struct Store {
    http: Client,
    addr: String,
}

/// Pairs of a page, as many as the service gives; it may give fewer.
const PAGE: usize = 1000;

const READ: Duration = Duration::from_millis(1500);
const COMMIT: Duration = Duration::from_millis(1500);

impl Store {
    pub fn new(net: Net, addr: String) -> Store {
        Store { http: Client::with_net(net, 6), addr }
    }

    fn decode<T: DeserializeOwned>(answer: &HttpResponse) -> Result<T, StoreError> {
        answer.decode().ok_or(StoreError::Malformed)
    }

    /// A key's value and version; none if it does not exist.
    pub async fn get<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, u64)>, StoreError> {
        Ok(self.get_with_lease(key).await?.map(|(v, stamp, _)| (v, stamp)))
    }

    /// A key's value and version, and the lease that it hangs on.
    pub async fn get_with_lease<T: DeserializeOwned>(
        &self,
        key: &str,
    ) -> Result<Option<(T, u64, Option<u64>)>, StoreError> {
        let answer = self.http.get(&self.addr, &format!("/store/{key}"), READ).await?;
        match answer.status {
            200 => {
                if let Ok(item) = rmp_serde::from_slice::<Item<T>>(&answer.body) {
                    return Ok(Some((item.v, item.stamp, item.charter)));
                }
                let item: Item<IgnoredAny> = Self::decode(&answer)?;
                Err(StoreError::Unreadable { key: key.into(), stamp: item.stamp })
            }
            404 => Ok(None),
            s => Err(StoreError::Status(s)),
        }
    }

    /// The first values with the prefix that can be read.
    pub async fn first_values<T: DeserializeOwned>(
        &self,
        prefix: &str,
        limit: usize,
    ) -> Result<Vec<T>, StoreError> {
        let path = format!("/store?prefix={prefix}&limit={limit}");
        let answer = self.http.get(&self.addr, &path, READ).await?;
        if answer.status != 200 {
            return Err(StoreError::Status(answer.status));
        }
        let page = Page::read(&answer.body).ok_or(StoreError::Malformed)?;
        let good = |i: Item<Lenient<T>>| match i.v {
            Lenient::Good(v) => Some(v),
            Lenient::Bad(_) => None,
        };
        Ok(page.pairs.into_iter().filter_map(good).collect())
    }

    /// A page of the keys with the prefix, beginning after one, and whether there are more.
    pub async fn list_keys(
        &self,
        prefix: &str,
        since: Option<&str>,
    ) -> Result<(Vec<String>, bool), StoreError> {
        let since = since.map(|p| format!("&since={p}")).unwrap_or_default();
        let path = format!("/store?prefix={prefix}{since}&limit={PAGE}");
        let answer = self.http.get(&self.addr, &path, READ).await?;
        if answer.status != 200 {
            return Err(StoreError::Status(answer.status));
        }
        let page: Page<IgnoredAny> = Self::decode(&answer)?;
        Ok((page.pairs.into_iter().map(|i| i.path).collect(), page.more))
    }

    /// Every key with the prefix. One that can't be read keeps none of the others from being read.
    pub async fn list<T: DeserializeOwned>(&self, prefix: &str) -> Result<Listing<T>, StoreError> {
        let mut out = Listing { rows: vec![], unreadable: vec![] };
        let mut last: Option<String> = None;
        loop {
            let since = last.map(|p| format!("&since={p}")).unwrap_or_default();
            let path = format!("/store?prefix={prefix}{since}&limit={PAGE}");
            let answer = self.http.get(&self.addr, &path, READ).await?;
            if answer.status != 200 {
                return Err(StoreError::Status(answer.status));
            }
            let page = Page::read(&answer.body).ok_or(StoreError::Malformed)?;
            last = page.pairs.last().map(|i| i.path.clone());
            let end = !page.more || last.is_none();
            for Item { path, v, stamp, .. } in page.pairs {
                match v {
                    Lenient::Good(v) => out.rows.push((path, v, stamp)),
                    Lenient::Bad(_) => out.unreadable.push((path, stamp)),
                }
            }
            if end {
                return Ok(out);
            }
        }
    }

    pub async fn commit(&self, when: &[Condition], apply: &[Change]) -> CommitOutcome {
        #[derive(Serialize)]
        struct Body<'a> {
            when: &'a [Condition],
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
                200 => a
                    .decode::<Rev>()
                    .map_or(CommitOutcome::Unknown, |r| CommitOutcome::Applied(r.rev)),
                409 => a
                    .decode::<Failed>()
                    .map_or(CommitOutcome::Unknown, |f| CommitOutcome::Conflict(f.failed)),
                400 => {
                    let text = String::from_utf8_lossy(&a.body);
                    if text.contains("no such lease") {
                        CommitOutcome::LeaseExpired
                    } else {
                        tracing::error!("state service calls a transaction malformed: {text}");
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

    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StoreError> {
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
    pub async fn renew_lease(&self, id: u64, limit: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{id}/extend");
        let none = std::collections::BTreeMap::<String, u64>::new();
        let answer = self.http.post(&self.addr, &path, &none, limit).await?;
        match answer.status {
            200 => Ok(true),
            404 => Ok(false),
            s => Err(StoreError::Status(s)),
        }
    }

    pub async fn revoke_lease(&self, id: u64) {
        let path = format!("/leases/{id}");
        let _ = self.http.call(Method::DELETE, &self.addr, &path, None, READ).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use copperhaven_core::records::{DependenciesRecord, RentalRecord};
    use copperhaven_core::records::{DoneTasksRecord, FinalRecord, JobRecord, MachineRecord};
    use std::collections::BTreeMap;

    /// A page with one record of another kind, or with something else under its key.
    fn page(values: &[(&str, serde_json::Value)]) -> Vec<u8> {
        let item = |(n, (path, v)): (usize, &(&str, serde_json::Value))| serde_json::json!({"path": path, "v": v, "stamp": n});
        let pairs: Vec<_> = values.iter().enumerate().map(item).collect();
        encode(&BTreeMap::from([
            ("pairs", serde_json::json!(pairs)),
            ("more", serde_json::json!(true)),
            ("ledgerRev", serde_json::json!(9)),
        ]))
    }

    fn bad<T: DeserializeOwned>(body: &[u8]) -> (usize, Vec<String>, bool) {
        let page = Page::<Lenient<T>>::read(body).expect("a page");
        let good = page.pairs.iter().filter(|i| matches!(i.v, Lenient::Good(_))).count();
        let bad = page.pairs.into_iter().filter(|i| matches!(i.v, Lenient::Bad(_)));
        (good, bad.map(|i| i.path).collect(), page.more)
    }

    #[test]
    fn one_record_that_can_t_be_read_keeps_none_of_the_others_from_it() {
        // Found when the takeover was looked through: one bad value failed the whole page, and with it
        // every takeover, for ever.
        let sound = [
            serde_json::json!({"r": [0, 3]}),
            serde_json::json!({"done": true, "tasks": 3}),
            serde_json::json!({"on": ["wk-1"]}),
            serde_json::json!({"berth": "b", "yard": "y", "spot": true, "number": 3}),
            serde_json::json!({"addr": "a", "berth": "b", "yard": "y", "spot": true, "shift": 1, "on": []}),
        ];
        let wrong = [
            serde_json::json!(null),
            serde_json::json!(7),
            serde_json::json!("text"),
            serde_json::json!([1, 2]),
            serde_json::json!({}),
            serde_json::json!({"r": "x", "done": 1, "on": 3, "number": -1, "job": {}}),
        ];
        for wrong in wrong {
            let all = |i: usize| {
                page(&[
                    ("x/1", sound[i].clone()),
                    ("x/2", wrong.clone()),
                    ("x/3", sound[i].clone()),
                ])
            };
            let expect = (2, vec!["x/2".to_string()], true);
            assert_eq!(bad::<DoneTasksRecord>(&all(0)), expect, "{wrong}");
            assert_eq!(bad::<FinalRecord>(&all(1)), expect, "{wrong}");
            assert_eq!(bad::<DependenciesRecord>(&all(2)), expect, "{wrong}");
            assert_eq!(bad::<RentalRecord>(&all(3)), expect, "{wrong}");
            assert_eq!(bad::<MachineRecord>(&all(4)), expect, "{wrong}");
            let jobs = page(&[("j/wk-1", wrong.clone())]);
            assert_eq!(bad::<JobRecord>(&jobs), (0, vec!["j/wk-1".to_string()], true), "{wrong}");
        }
        assert!(
            Page::<Lenient<DoneTasksRecord>>::read(b"\x93\x01").is_none(),
            "a torn answer is none"
        );
    }
}
