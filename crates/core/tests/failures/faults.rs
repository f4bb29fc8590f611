//! Random faults of leaders, connections, records and workers.

use crate::world::*;
use rand::Rng;

impl World {
    /// Draws the faults of one step.
    pub fn inject_faults(&mut self) {
        let now = self.now;
        if self.chance(0.004) {
            self.leaders.pop();
        }
        if self.chance(if self.splits_leaders { 0.012 } else { 0.004 })
            && let Some(l) = self.leaders.last_mut()
        {
            l.store_reachable = false;
        }
        if self.chance(0.02)
            && self.old_leader_workers.is_empty()
            && let Some(l) = self.leaders.first_mut()
        {
            l.store_reachable = true;
        }
        if self.chance(0.01) {
            let i = self.rng.random_range(0..self.workers.len());
            if let Some(l) = self.leaders.last_mut()
                && !self.old_leader_workers.contains_key(&i)
                && !l.cut_off.remove(&i)
            {
                l.cut_off.insert(i);
            }
        }
        // A leader pauses and believes that it still leads until it learns otherwise: it has to
        // reconnect to the store.
        if self.chance(0.004) {
            let pause_ms = self.rng.random_range(1_000..45_000);
            if let Some(l) = self.leaders.last_mut() {
                (l.paused_until, l.store_reachable) = (now + pause_ms, false);
            }
        }
        // A leader reaches the store but no worker; later its connections recover.
        if self.chance(0.002) {
            let all = (0..self.workers.len()).collect();
            if let Some(l) = self.leaders.last_mut() {
                l.cut_off = all;
            }
        }
        if self.chance(0.02)
            && let Some(l) = self.leaders.last_mut()
        {
            l.cut_off = self.old_leader_workers.keys().copied().collect();
            l.outbound_blocked.clear();
        }
        // One-way connections: the leader's messages to one worker, or to all, are blocked.
        if self.chance(0.01) {
            let i = self.rng.random_range(0..self.workers.len());
            let all = self.chance(0.2);
            let blocked: Vec<usize> = if all { (0..self.workers.len()).collect() } else { vec![i] };
            if let Some(l) = self.leaders.last_mut() {
                l.outbound_blocked.extend(blocked);
            }
        }
        // A record becomes unreadable; a leader elected after its repair can read it again.
        if self.corrupts_records && self.chance(0.006) {
            let kinds = ["j/", "d/", "m/", "m/", "a/", "r/"];
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let keys = self.store.keys().filter(|k| k.starts_with(kind));
            let keys: Vec<String> = keys.cloned().collect();
            if !keys.is_empty() {
                let key = keys[self.rng.random_range(0..keys.len())].clone();
                let until = now + self.rng.random_range(5_000..120_000);
                self.unreadable_until.insert(key, until);
            }
        }
        self.unreadable_until.retain(|_, until| now < *until);
        if self.chance(0.004) {
            let i = self.rng.random_range(0..self.workers.len());
            self.workers[i].unresponsive_until = now + self.rng.random_range(1_000..60_000);
        }
        if self.chance(0.004) {
            let i = self.rng.random_range(0..self.workers.len());
            self.workers[i].hung_until = now + self.rng.random_range(1_000..25_000);
        }
    }
}
