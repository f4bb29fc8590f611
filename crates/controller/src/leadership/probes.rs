//! Asking workers, where silence proves nothing: a controller that sent its workers away, or that they left,
//! still has to know whether it could serve them.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::records::{MachineRecord, PackRecord};
use std::sync::Arc;
use tokio::time::sleep;

/// So long without a worker's report, and some are asked; so often; and so long they have to answer.
const SILENCE_MS: u64 = 1500;
const PAUSE_MS: u64 = 700;
const LIMIT_MS: u64 = 900;

/// So many records are read where no worker is known.
const SOME: usize = 60;

/// Keeps asking, one worker of each zone at a time, while none is heard. For ever.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(ms(PAUSE_MS)).await;
        let targets = match node.probe_targets(SILENCE_MS) {
            Some(targets) => targets,
            None => {
                // Only records can tell of any. With no machine there is nobody to ask.
                let own = node.store.first_values::<MachineRecord>("m/", SOME).await;
                let packs = node.store.first_values::<PackRecord>("p/", SOME / 4).await;
                if let (Ok(own), Ok(packs)) = (own, packs) {
                    let packed = packs.iter().flat_map(|p| p.machines.values());
                    let all = own.iter().chain(packed);
                    node.add_known_workers(all.map(|m| (m.addr.as_str(), m.zone.as_str())));
                }
                sleep(ms(PAUSE_MS)).await;
                continue;
            }
        };
        let asks = targets.into_iter().map(|(zone, addr)| {
            let node = node.clone();
            tokio::spawn(async move {
                let sent = node.now();
                let answer = node.worker_client.get(&addr, "/inspect", ms(LIMIT_MS)).await;
                node.record_worker_probe(zone, sent, answer.is_ok_and(|a| a.status == 200));
            })
        });
        for ask in asks.collect::<Vec<_>>() {
            let _ = ask.await;
        }
    }
}
