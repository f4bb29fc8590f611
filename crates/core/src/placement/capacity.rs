//! Machines with what is free on them, and which of them a job may use.

use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::machine;
use crate::state::names::*;
use crate::state::record_rendering::{MAX_TASK_GROUP_BYTES, MAX_TASK_RANGE_BYTES};
use copperhaven_recovery::Machine;
use smallvec::SmallVec;

/// Images on a machine, mostly so few that none of them needs memory of its own.
pub type Images = SmallVec<[ImageId; 6]>;

/// A machine with what is free on it.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    pub machine_id: MachineId,
    pub kind: TypeId,
    pub zone: ZoneId,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub images: Images,
    /// Bytes that the machine's record still has for groups of tasks, each placed at once.
    pub record_free_bytes: usize,
    pub reserved: Option<JobId>,
}

impl FreeCapacity {
    /// A machine with what is free on it now, no image and room in its record.
    pub fn from_machine(mid: MachineId, m: &machine::Machine) -> FreeCapacity {
        FreeCapacity {
            machine_id: mid,
            kind: m.machine_type,
            zone: m.zone,
            spot: m.spot,
            cpus: m.cpus - m.used_cpus,
            gpus: m.gpus - m.used_gpus,
            mem_gb: m.mem_gb - m.used_mem,
            images: Images::new(),
            record_free_bytes: usize::MAX,
            reserved: None,
        }
    }

    /// The same machine, to work out what could be free on it: without its images.
    pub(super) fn without_images(&self) -> FreeCapacity {
        FreeCapacity { images: Images::new(), ..*self }
    }

    /// How many tasks of this shape fit.
    pub fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        let listed = (self.record_free_bytes.saturating_sub(MAX_TASK_GROUP_BYTES)
            / MAX_TASK_RANGE_BYTES)
            .min(256) as u32;
        if listed == 0 {
            return 0;
        }
        let part = |free: f64, need: f64| {
            if need <= 0.0 { 256.0 } else { ((free + EPS) / need).clamp(0.0, 256.0) }
        };
        // Whole tasks: what is cast is not negative.
        let fit = part(self.cpus, spec.cpus)
            .min(part(self.mem_gb, spec.mem_gb))
            .min(part(self.gpus, spec.gpus)) as u32;
        fit.min(listed)
    }

    /// How many tasks of this shape fit, with nobody else's reservation in the way.
    pub(super) fn unreserved_fitting_tasks(&self, spec: &JobSpec) -> u32 {
        if self.reserved.is_none() && self.is_eligible_for(spec) {
            self.fitting_tasks(spec)
        } else {
            0
        }
    }

    pub fn allocate(&mut self, spec: &JobSpec, n: u32) {
        if n > 0 {
            self.record_free_bytes = self
                .record_free_bytes
                .saturating_sub(MAX_TASK_GROUP_BYTES + MAX_TASK_RANGE_BYTES * n as usize);
        }
        let n = f64::from(n);
        self.cpus -= spec.cpus * n;
        self.gpus -= spec.gpus * n;
        self.mem_gb -= spec.mem_gb * n;
    }

    /// Does at least one task fit here, with nobody else's reservation in the way?
    pub(crate) fn has_unreserved_room(&self, spec: &JobSpec) -> bool {
        self.unreserved_fitting_tasks(spec) > 0
    }

    pub fn is_eligible_for(&self, spec: &JobSpec) -> bool {
        (spec.spot || !self.spot)
            && spec.machine_types.contains(&self.kind)
            && spec.zone.is_none_or(|z| z == self.zone)
    }
}

impl FreeCapacity {
    pub fn release(&mut self, spec: &JobSpec) {
        self.take_back_n(spec, 1);
    }

    pub(super) fn take_back_n(&mut self, spec: &JobSpec, n: u32) {
        let n = f64::from(n);
        self.cpus += spec.cpus * n;
        self.gpus += spec.gpus * n;
        self.mem_gb += spec.mem_gb * n;
    }
}

impl LeaderState {
    pub fn free_capacity(&self, now: u64) -> Vec<FreeCapacity> {
        let silence = self.report_timeout_ms();
        self.machines
            .iter()
            .filter(|(_, m)| m.is_usable(now, silence) && m.unreadable_job_tasks.is_empty())
            .map(|(mid, m)| (mid, m, self.record_bytes_left(m)))
            .filter(|(.., record)| *record >= MAX_TASK_GROUP_BYTES + MAX_TASK_RANGE_BYTES)
            .map(|(mid, m, record)| FreeCapacity {
                images: m.images.iter().map(|(i, _)| *i).collect(),
                record_free_bytes: record,
                reserved: m.reserved.filter(|(_, until)| now < *until).map(|(id, _)| id),
                ..FreeCapacity::from_machine(*mid, m)
            })
            .collect()
    }

    /// Machines on record that have not shown this term yet, with what is free on them by their records: after a
    /// takeover, until they were heard or the bound for that has run out. Nothing is placed there; nothing is
    /// rented or stopped for what may find its place there either.
    pub(crate) fn unconfirmed_capacity(&self, now: u64) -> impl Iterator<Item = FreeCapacity> {
        let waited = self.recovery.unreported_count() > 0;
        let silence = self.report_timeout_ms();
        self.machines
            .iter()
            .filter(move |(mid, m)| {
                waited
                    && self.recovery.is_report_expected(Machine(mid.0), now)
                    && !m.is_usable(now, silence)
                    && !(m.faulty || m.leaving || m.reclaim_at.is_some())
                    && m.unreadable_job_tasks.is_empty()
            })
            .map(|(mid, m)| FreeCapacity::from_machine(*mid, m))
    }

    /// For how many tasks of this shape there is room on such machines.
    pub(crate) fn unconfirmed_fitting_tasks(&self, spec: &JobSpec, now: u64) -> u32 {
        self.unconfirmed_capacity(now).map(|s| s.unreserved_fitting_tasks(spec)).sum()
    }

    /// How many more tasks of the job a zone may hold.
    pub(crate) fn zone_headroom(&self, id: JobId, zone: ZoneId) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let mut room = u32::MAX;
        if job.spec.one_zone {
            let elsewhere =
                job.placements_by_zone.iter().enumerate().any(|(z, n)| z != zone.index() && *n > 0);
            if elsewhere {
                return 0;
            }
        }
        if job.spec.spread {
            let half = job.spec.tasks.div_ceil(2);
            room = room.min(half.saturating_sub(job.placements_by_zone[zone.index()]));
        }
        room
    }

    /// The machines a job may use now, the best first: where the index routed its tasks, with its
    /// image, spot if it may (that leaves ordinary machines to those who must have them), and
    /// the fullest, so that whole machines stay free for gangs.
    pub(crate) fn candidate_indices(
        &self,
        id: JobId,
        spec: &JobSpec,
        slots: &[FreeCapacity],
    ) -> Vec<usize> {
        let Some(job) = self.jobs.get(&id) else { return vec![] };
        let sound = self.machines.len() > job.failed_on.len();
        let doubted = |s: &FreeCapacity| {
            self.machines
                .get(&s.machine_id)
                .is_some_and(|m| m.machine_failures > 0 || !m.suspect_failures.is_empty())
        };
        let mut out: Vec<(bool, bool, bool, bool, i64, i64, usize)> = slots
            .iter()
            .enumerate()
            .filter(|(_, s)| s.is_eligible_for(spec) && s.reserved.is_none_or(|r| r == id))
            .filter(|(_, s)| !(sound && job.failed_on.contains_key(&s.machine_id)))
            .filter(|(_, s)| s.fitting_tasks(spec) > 0)
            .map(|(i, s)| {
                let pool = self.pool_index(s.zone, s.kind);
                let routed = job.routed_by_pool.get(pool).is_some_and(|r| *r > 0);
                let image = s.images.contains(&spec.image);
                // The cheapest first, so that dear machines get free and can be given back.
                let f = &self.machine_types[s.kind.index()];
                let price = (f.price(s.spot) * self.machine_share(spec, s.kind) * 1e6) as i64;
                let free = (s.cpus * 1000.0) as i64;
                (doubted(s), !image, s.reserved.is_none(), !routed, price, free, i)
            })
            .collect();
        out.sort_unstable();
        out.into_iter().map(|(.., i)| i).collect()
    }
}
