//! Client of the cloud's API: machine types, rentals, returns and the list of machines.

use crate::http::{CallError, Client};
use crate::net::Net;
use copperhaven_core::records::RentalRecord;
use copperhaven_wire::cloud::{Host, WireMachineType};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Client of the cloud's API.
pub struct Cloud {
    http: Client,
    addr: String,
}

/// Time limit of each call.
const CALL_TIMEOUT: Duration = Duration::from_millis(3000);

impl Cloud {
    /// Returns a client of the cloud at `addr` that keeps up to two idle connections.
    pub fn new(net: Net, addr: String) -> Cloud {
        Cloud { http: Client::with_net(net, 2), addr }
    }

    /// Lists the machine types that the cloud offers; `None` if the call failed.
    pub async fn list_machine_types(&self) -> Option<Vec<WireMachineType>> {
        #[derive(Deserialize)]
        struct Body {
            #[serde(rename = "berths")]
            machine_types: Vec<WireMachineType>,
        }
        let response = self.http.get(&self.addr, "/flavors", CALL_TIMEOUT).await.ok()?;
        (response.status == 200).then(|| response.decode::<Body>())?.map(|b| b.machine_types)
    }

    /// Rents the machines of a rental record under its name. Returns the ids of the machines, or
    /// `Ok(None)` if the cloud has no capacity or rejects the request as malformed. On an error the
    /// outcome may be unknown, and the call has to be repeated.
    pub async fn rent(
        &self,
        name: &str,
        record: &RentalRecord,
    ) -> Result<Option<Vec<String>>, CallError> {
        #[derive(Serialize)]
        struct RentRequest<'a> {
            #[serde(rename = "hire")]
            name: &'a str,
            #[serde(rename = "berth")]
            machine_type: &'a str,
            #[serde(rename = "yard")]
            zone: &'a str,
            #[serde(rename = "loaners")]
            spot: bool,
            #[serde(rename = "number")]
            count: u32,
        }
        #[derive(Deserialize)]
        struct Rented {
            #[serde(rename = "hearths")]
            machine_ids: Vec<String>,
        }
        let request = RentRequest {
            name,
            machine_type: &record.machine_type,
            zone: &record.zone,
            spot: record.spot,
            count: record.count,
        };
        let response = self.http.post(&self.addr, "/hosts", &request, CALL_TIMEOUT).await?;
        let unknown = |reason: &str| Err(CallError::OutcomeUnknown(reason.into()));
        match response.status {
            200 => response
                .decode::<Rented>()
                .map_or_else(|| unknown("malformed"), |r| Ok(Some(r.machine_ids))),
            503 if String::from_utf8_lossy(&response.body).contains("no capacity") => Ok(None),
            400 => {
                tracing::error!("cloud rejected rental {name} as malformed");
                Ok(None)
            }
            s => unknown(&format!("status {s}")),
        }
    }

    /// Returns machines to the cloud by id. Returns whether the cloud accepted the call.
    pub async fn return_hosts(&self, machine_ids: &[String]) -> bool {
        #[derive(Serialize)]
        struct ReturnRequest<'a> {
            #[serde(rename = "hearths")]
            machine_ids: &'a [String],
        }
        let response = self
            .http
            .post(&self.addr, "/hosts/return", &ReturnRequest { machine_ids }, CALL_TIMEOUT)
            .await;
        response.is_ok_and(|r| r.status == 200)
    }

    /// Lists all rented machines, page by page; `None` if a call failed.
    pub async fn list_hosts(&self) -> Option<Vec<Host>> {
        #[derive(Deserialize)]
        struct Page {
            #[serde(rename = "hearths")]
            hosts: Vec<Host>,
            #[serde(default)]
            more: bool,
        }
        let mut out: Vec<Host> = vec![];
        loop {
            let since = out.last().map(|h| format!("since={}&", h.uid)).unwrap_or_default();
            let path = format!("/hosts?{since}limit=500");
            let response = self.http.get(&self.addr, &path, CALL_TIMEOUT).await.ok()?;
            if response.status != 200 {
                return None;
            }
            let page: Page = response.decode()?;
            let end = !page.more || page.hosts.is_empty();
            out.extend(page.hosts);
            if end {
                return Some(out);
            }
        }
    }
}
