//! The cloud by its protocol.

use crate::http::{CallError, Client};
use crate::net::Net;
use copperhaven_core::records::RentalRecord;
use copperhaven_wire::cloud::{Host, WireMachineType};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The cloud by its protocol.
pub struct Cloud {
    http: Client,
    addr: String,
}

const LIMIT: Duration = Duration::from_millis(3000);

impl Cloud {
    pub fn new(net: Net, addr: String) -> Cloud {
        Cloud { http: Client::with_net(net, 2), addr }
    }

    pub async fn list_machine_types(&self) -> Option<Vec<WireMachineType>> {
        #[derive(Deserialize)]
        struct Body {
            berths: Vec<WireMachineType>,
        }
        let a = self.http.get(&self.addr, "/flavors", LIMIT).await.ok()?;
        (a.status == 200).then(|| a.decode::<Body>())?.map(|b| b.berths)
    }

    /// Ok(Some): rented; Ok(None): refused for want of capacity; Err: ask again.
    pub async fn rent(
        &self,
        name: &str,
        r: &RentalRecord,
    ) -> Result<Option<Vec<String>>, CallError> {
        #[derive(Serialize)]
        struct Ask<'a> {
            hire: &'a str,
            berth: &'a str,
            yard: &'a str,
            loaners: bool,
            number: u32,
        }
        #[derive(Deserialize)]
        struct Got {
            hearths: Vec<String>,
        }
        let ask = Ask {
            hire: name,
            berth: &r.machine_type,
            yard: &r.zone,
            loaners: r.spot,
            number: r.count,
        };
        let a = self.http.post(&self.addr, "/hosts", &ask, LIMIT).await?;
        let lost = |why: &str| Err(CallError::OutcomeUnknown(why.into()));
        match a.status {
            200 => a.decode::<Got>().map_or_else(|| lost("malformed"), |g| Ok(Some(g.hearths))),
            503 if String::from_utf8_lossy(&a.body).contains("no capacity") => Ok(None),
            400 => {
                tracing::error!("the cloud calls rental {name} malformed");
                Ok(None)
            }
            s => lost(&format!("status {s}")),
        }
    }

    pub async fn return_hosts(&self, names: &[String]) -> bool {
        #[derive(Serialize)]
        struct Ask<'a> {
            hearths: &'a [String],
        }
        let a = self.http.post(&self.addr, "/hosts/return", &Ask { hearths: names }, LIMIT).await;
        a.is_ok_and(|a| a.status == 200)
    }

    pub async fn list_hosts(&self) -> Option<Vec<Host>> {
        #[derive(Deserialize)]
        struct Page {
            hearths: Vec<Host>,
            #[serde(default)]
            more: bool,
        }
        let mut out: Vec<Host> = vec![];
        loop {
            let since = out.last().map(|h| format!("since={}&", h.uid)).unwrap_or_default();
            let path = format!("/hosts?{since}limit=500");
            let a = self.http.get(&self.addr, &path, LIMIT).await.ok()?;
            if a.status != 200 {
                return None;
            }
            let page: Page = a.decode()?;
            let end = !page.more || page.hearths.is_empty();
            out.extend(page.hearths);
            if end {
                return Some(out);
            }
        }
    }
}
