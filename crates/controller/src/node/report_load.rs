//! Distribution of workers' reports: a busy leader redirects workers to other controllers.

/// Counts of reports in windows of a second: those received at this controller's own endpoint, and
/// all that it answers as leader.
#[derive(Debug, Default)]
pub(super) struct ReportLoad {
    /// Start of the current window, in ms.
    pub(super) window_start: u64,
    /// Reports in the current window: received here, answered as leader.
    pub(super) current_window: (u32, u32),
    /// The same for the window before; zeros if it had ended a second or more before this one
    /// began.
    pub(super) previous_window: (u32, u32),
    /// When a worker was last redirected, in ms.
    pub(super) last_redirect_at: u64,
}

impl ReportLoad {
    /// Counts a report: `received` at this controller's own endpoint, or else answered as leader.
    pub(super) fn record_report(&mut self, received: bool, now: u64) {
        if now >= self.window_start + 1000 {
            self.previous_window =
                if now < self.window_start + 2000 { self.current_window } else { (0, 0) };
            (self.window_start, self.current_window) = (now, (0, 0));
        }
        if received {
            self.current_window.0 += 1;
        } else {
            self.current_window.1 += 1;
        }
    }

    /// Returns whether a worker should be redirected to another controller. A leader that spends
    /// too much of its CPU share on reports leaves their reception to the others and receives only
    /// half of an equal share itself.
    pub(super) fn should_redirect(
        &mut self,
        member_count: usize,
        cpu_share: f64,
        now: u64,
    ) -> bool {
        let (received, answered) = self.previous_window;
        let busy = f64::from(answered) * REPORT_COST_S > cpu_share * MAX_REPORT_CPU_FRACTION;
        let over_share = received as usize * member_count * 2 > answered as usize;
        let redirect = busy && over_share && now >= self.last_redirect_at + REDIRECT_INTERVAL_MS;
        if redirect {
            self.last_redirect_at = now;
        }
        redirect
    }
}

/// Approximate CPU time to receive and answer a report.
const REPORT_COST_S: f64 = 1e-4;

/// Fraction of its CPU share beyond which a leader leaves the reception of reports to others.
const MAX_REPORT_CPU_FRACTION: f64 = 0.2;

/// Minimum interval between redirects, so that workers move one at a time.
const REDIRECT_INTERVAL_MS: u64 = 40;
