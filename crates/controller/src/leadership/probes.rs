//! Probes of workers. Missing reports prove nothing about a controller that redirected its workers
//! or that they left; it still has to know whether it could serve them.

use crate::leadership::ms;
use crate::node::Node;
use copperhaven_core::records::{MachineRecord, PackRecord};
use std::sync::Arc;
use tokio::time::sleep;

/// Workers are probed after this time without a report from any of them.
const SILENCE_MS: u64 = 1500;
/// Pause between two rounds of probes.
const PROBE_INTERVAL_MS: u64 = 700;
/// Time that a worker has to answer a probe.
const PROBE_TIMEOUT_MS: u64 = 900;

/// Machine records that are read where no worker is known; of packs a quarter as many.
const MAX_RECORDS_READ: usize = 60;

/// Probes one worker of each zone at a time while none reports. Never returns.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(ms(PROBE_INTERVAL_MS)).await;
        let targets = match node.probe_targets(SILENCE_MS) {
            Some(targets) => targets,
            None => {
                // No worker is known: the records may list some. Without machines there is none to
                // probe.
                let single = node.store.first_values::<MachineRecord>("m/", MAX_RECORDS_READ).await;
                let packs = node.store.first_values::<PackRecord>("p/", MAX_RECORDS_READ / 4).await;
                if let (Ok(single), Ok(packs)) = (single, packs) {
                    let packed = packs.iter().flat_map(|pack| pack.machines.values());
                    let machines = single.iter().chain(packed);
                    node.add_known_workers(machines.map(|m| (m.addr.as_str(), m.zone.as_str())));
                }
                sleep(ms(PROBE_INTERVAL_MS)).await;
                continue;
            }
        };
        let probes = targets.into_iter().map(|(zone, addr)| {
            let node = node.clone();
            tokio::spawn(async move {
                let sent = node.now();
                let answer = node.worker_client.get(&addr, "/inspect", ms(PROBE_TIMEOUT_MS)).await;
                node.record_worker_probe(
                    zone,
                    sent,
                    answer.is_ok_and(|response| response.status == 200),
                );
            })
        });
        for probe in probes.collect::<Vec<_>>() {
            let _ = probe.await;
        }
    }
}
