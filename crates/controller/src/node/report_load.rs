//! Where workers report: a busy leader leaves their reception to others.

/// Reports in a second: those at this node's own door, and all that it answers as leader.
#[derive(Debug, Default)]
pub(super) struct ReportLoad {
    pub(super) since: u64,
    pub(super) now: (u32, u32),
    pub(super) previous_window: (u32, u32),
    pub(super) sent_away: u64,
}

impl ReportLoad {
    pub(super) fn record_report(&mut self, own: bool, now: u64) {
        if now >= self.since + 1000 {
            self.previous_window = if now < self.since + 2000 { self.now } else { (0, 0) };
            (self.since, self.now) = (now, (0, 0));
        }
        if own {
            self.now.0 += 1;
        } else {
            self.now.1 += 1;
        }
    }

    /// Should a worker be sent to another controller? A leader whose processor reports keep busy
    /// leaves their reception to the others and takes half of an equal share itself.
    pub(super) fn should_redirect(&mut self, nodes: usize, cpu_share: f64, now: u64) -> bool {
        let (own, all) = self.previous_window;
        let busy = f64::from(all) * REPORT_COST_S > cpu_share * BUSY;
        let much = own as usize * nodes * 2 > all as usize;
        let sheds = busy && much && now >= self.sent_away + SHED_MS;
        if sheds {
            self.sent_away = now;
        }
        sheds
    }
}

/// About what taking in and answering a report costs a controller's processor; beyond this part of
/// its share a leader leaves their reception to others, one worker at a time.
const REPORT_COST_S: f64 = 1e-4;
const BUSY: f64 = 0.2;
const SHED_MS: u64 = 40;
