//! What goes wrong.

use crate::world::*;
use rand::Rng;

impl World {
    pub fn troubles(&mut self) {
        let now = self.now;
        if self.chance(0.004) {
            self.leaders.pop();
        }
        if self.chance(if self.parts { 0.012 } else { 0.004 })
            && let Some(l) = self.leaders.last_mut()
        {
            l.store = false;
        }
        if self.chance(0.02)
            && self.loyal.is_empty()
            && let Some(l) = self.leaders.first_mut()
        {
            l.store = true;
        }
        if self.chance(0.01) {
            let i = self.rng.random_range(0..self.workers.len());
            if let Some(l) = self.leaders.last_mut()
                && !self.loyal.contains_key(&i)
                && !l.cut.remove(&i)
            {
                l.cut.insert(i);
            }
        }
        // A leader stands still, and goes on believing that it leads, until it hears otherwise: its
        // connection to the store has to be made anew.
        if self.chance(0.004) {
            let still = self.rng.random_range(1_000..45_000);
            if let Some(l) = self.leaders.last_mut() {
                (l.still_until, l.store) = (now + still, false);
            }
        }
        // A leader reaches the store but no worker at all; later it does again.
        if self.chance(0.002) {
            let all = (0..self.workers.len()).collect();
            if let Some(l) = self.leaders.last_mut() {
                l.cut = all;
            }
        }
        if self.chance(0.02)
            && let Some(l) = self.leaders.last_mut()
        {
            l.cut = self.loyal.keys().copied().collect();
            l.mute.clear();
        }
        // Connections that work in one direction only: to one worker, or to all.
        if self.chance(0.01) {
            let i = self.rng.random_range(0..self.workers.len());
            let all = self.chance(0.2);
            let hit: Vec<usize> = if all { (0..self.workers.len()).collect() } else { vec![i] };
            if let Some(l) = self.leaders.last_mut() {
                l.mute.extend(hit);
            }
        }
        // A record is spoiled; later it is mended, which the next leader finds.
        if self.spoils && self.chance(0.006) {
            let kinds = ["j/", "d/", "m/", "m/", "a/", "r/"];
            let kind = kinds[self.rng.random_range(0..kinds.len())];
            let keys = self.store.keys().filter(|k| k.starts_with(kind));
            let keys: Vec<String> = keys.cloned().collect();
            if !keys.is_empty() {
                let key = keys[self.rng.random_range(0..keys.len())].clone();
                let until = now + self.rng.random_range(5_000..120_000);
                self.spoiled.insert(key, until);
            }
        }
        self.spoiled.retain(|_, until| now < *until);
        if self.chance(0.004) {
            let i = self.rng.random_range(0..self.workers.len());
            self.workers[i].deaf_until = now + self.rng.random_range(1_000..60_000);
        }
        if self.chance(0.004) {
            let i = self.rng.random_range(0..self.workers.len());
            self.workers[i].hangs_until = now + self.rng.random_range(1_000..25_000);
        }
    }
}
