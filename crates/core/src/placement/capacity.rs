//! Free capacity of machines, and which machines a job may use.

use crate::placement::zone_limits;
use crate::state::job::{EPS, JobSpec};
use crate::state::leader_state::LeaderState;
use crate::state::machine;
use crate::state::names::*;
use crate::state::record_rendering::{MAX_TASK_GROUP_BYTES, MAX_TASK_RANGE_BYTES};
use copperhaven_recovery::Machine;
use smallvec::SmallVec;

/// Images on a machine, usually few enough to be stored inline without an allocation.
pub type Images = SmallVec<[ImageId; 6]>;

/// The order in which the machines that a job may use are tried, the smallest first; by its fields in turn.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    /// When a task of the job failed there last; 0 if none did.
    failed_at: u64,
    /// Tasks of some job failed there since its last success.
    suspect: bool,
    lacks_image: bool,
    unreserved: bool,
    /// No task of the job is routed to its pool.
    not_routed: bool,
    /// Price of what one task takes. The cheapest come first, so that expensive machines become free and can be
    /// returned.
    micro_price: i64,
    /// The fullest come first, so that whole machines stay free for gangs.
    free_millicpus: i64,
    /// Index of the machine's capacity.
    index: usize,
}

/// A machine and its free capacity.
#[derive(Debug, Clone)]
pub struct FreeCapacity {
    /// The machine; `u32::MAX` stands for one that has not booted yet (`fleet::demand`).
    pub machine_id: MachineId,
    /// The machine type.
    pub machine_type: TypeId,
    /// The zone that the machine is in.
    pub zone: ZoneId,
    /// Whether the cloud may reclaim the machine.
    pub spot: bool,
    /// Free CPUs.
    pub cpus: f64,
    /// Free GPUs.
    pub gpus: f64,
    /// Free memory in GB.
    pub mem_gb: f64,
    /// Images that the machine should have.
    pub images: Images,
    /// Bytes left in the machine's record for groups of tasks, each placed at once.
    pub record_free_bytes: usize,
    /// The job that the machine is reserved for.
    pub reserved: Option<JobId>,
}

impl FreeCapacity {
    /// Returns the machine's current free capacity, without images or reservation and with unlimited space in its record.
    pub fn from_machine(machine_id: MachineId, m: &machine::Machine) -> FreeCapacity {
        FreeCapacity {
            machine_id,
            machine_type: m.machine_type,
            zone: m.zone,
            spot: m.spot,
            cpus: m.cpus - m.used_cpus,
            gpus: m.gpus - m.used_gpus,
            mem_gb: m.mem_gb - m.used_mem_gb,
            images: Images::new(),
            record_free_bytes: usize::MAX,
            reserved: None,
        }
    }

    /// Returns a copy without images, to compute what could become free on the machine.
    pub(super) fn without_images(&self) -> FreeCapacity {
        FreeCapacity { images: Images::new(), ..*self }
    }

    /// Returns how many tasks of `spec` fit: at most 256, and no more than the machine's record can list.
    pub fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        let fits_record = (self.record_free_bytes.saturating_sub(MAX_TASK_GROUP_BYTES)
            / MAX_TASK_RANGE_BYTES)
            .min(256) as u32;
        if fits_record == 0 {
            return 0;
        }
        let fitting = |free: f64, per_task: f64| {
            if per_task <= 0.0 { 256.0 } else { ((free + EPS) / per_task).clamp(0.0, 256.0) }
        };
        // The cast rounds down to whole tasks; the values are not negative.
        let fits_machine = fitting(self.cpus, spec.cpus)
            .min(fitting(self.mem_gb, spec.mem_gb))
            .min(fitting(self.gpus, spec.gpus)) as u32;
        fits_machine.min(fits_record)
    }

    /// Returns how many tasks of `spec` fit if the machine is eligible and not reserved, else 0.
    pub(super) fn unreserved_fitting_tasks(&self, spec: &JobSpec) -> u32 {
        if self.reserved.is_none() && self.is_eligible_for(spec) {
            self.fitting_tasks(spec)
        } else {
            0
        }
    }

    /// Subtracts what `n` tasks of `spec` use, and their space in the machine's record.
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

    /// Returns whether the machine is eligible, not reserved, and fits at least one task.
    pub(crate) fn has_unreserved_capacity(&self, spec: &JobSpec) -> bool {
        self.unreserved_fitting_tasks(spec) > 0
    }

    /// Returns whether the job may use this machine, by its type, zone and spot status.
    pub fn is_eligible_for(&self, spec: &JobSpec) -> bool {
        (spec.spot || !self.spot)
            && spec.machine_types.contains(&self.machine_type)
            && spec.zone.is_none_or(|z| z == self.zone)
    }
}

impl FreeCapacity {
    /// Adds what one task of `spec` uses back to the free capacity.
    pub fn release(&mut self, spec: &JobSpec) {
        self.release_n(spec, 1);
    }

    /// Adds what `n` tasks of `spec` use back to the free capacity.
    pub(super) fn release_n(&mut self, spec: &JobSpec, n: u32) {
        let n = f64::from(n);
        self.cpus += spec.cpus * n;
        self.gpus += spec.gpus * n;
        self.mem_gb += spec.mem_gb * n;
    }
}

impl LeaderState {
    /// Returns the free capacity of all usable machines. Left out are machines that may run tasks of
    /// unreadable jobs, and machines whose record has no space for another group of tasks.
    pub fn free_capacity(&self, now: u64) -> Vec<FreeCapacity> {
        let report_timeout_ms = self.report_timeout_ms();
        self.machines
            .iter()
            .filter(|(_, m)| {
                m.is_usable(now, report_timeout_ms) && m.unreadable_job_tasks.is_empty()
            })
            .map(|(machine_id, m)| (machine_id, m, self.record_bytes_left(m)))
            .filter(|(.., record_free_bytes)| {
                *record_free_bytes >= MAX_TASK_GROUP_BYTES + MAX_TASK_RANGE_BYTES
            })
            .map(|(machine_id, m, record_free_bytes)| FreeCapacity {
                images: m.images.iter().map(|(i, _)| *i).collect(),
                record_free_bytes,
                reserved: m.reserved.filter(|(_, until)| now < *until).map(|(id, _)| id),
                ..FreeCapacity::from_machine(*machine_id, m)
            })
            .collect()
    }

    /// Returns the free capacity, by their records, of machines that have not reported in this term: after a
    /// takeover, until they report or the time allowed for that has run out. No task is placed there, but no machine is
    /// rented and no task stopped for what may fit there either.
    pub(crate) fn unconfirmed_capacity(&self, now: u64) -> impl Iterator<Item = FreeCapacity> {
        let reports_expected = self.recovery.unreported_count() > 0;
        let report_timeout_ms = self.report_timeout_ms();
        self.machines
            .iter()
            .filter(move |(machine_id, m)| {
                reports_expected
                    && self.recovery.is_report_expected(Machine(machine_id.0), now)
                    && !m.is_usable(now, report_timeout_ms)
                    && !(m.faulty || m.leaving || m.reclaim_at.is_some())
                    && m.unreadable_job_tasks.is_empty()
            })
            .map(|(machine_id, m)| FreeCapacity::from_machine(*machine_id, m))
    }

    /// Returns how many tasks of `spec` fit on machines whose first report of this term is still expected.
    pub(crate) fn unconfirmed_fitting_tasks(&self, spec: &JobSpec, now: u64) -> u32 {
        self.unconfirmed_capacity(now).map(|s| s.unreserved_fitting_tasks(spec)).sum()
    }

    /// Returns how many more tasks of the job a zone may run (`ZoneLimits::headroom`).
    pub(crate) fn zone_headroom(&self, id: JobId, zone: ZoneId) -> u32 {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        zone_limits::headroom(&job.spec, &job.placements_by_zone, zone)
    }

    /// Returns the indices of the machines that a job may use now, the best first: those on which none of its
    /// tasks failed, or not for the longest time, without recent task failures, with its image, reserved for it, in the pools that the index routed its tasks to, the
    /// cheapest (spot machines, if it may use them, leave ordinary ones to jobs that need these), and
    /// the fullest, so that whole machines stay free for gangs.
    pub(crate) fn candidate_indices(
        &self,
        id: JobId,
        spec: &JobSpec,
        capacities: &[FreeCapacity],
        now: u64,
    ) -> Vec<usize> {
        let Some(job) = self.jobs.get(&id) else { return vec![] };
        let avoided = self.avoided_machines(id, job, capacities, now);
        let is_suspect = |s: &FreeCapacity| {
            self.machines
                .get(&s.machine_id)
                .is_some_and(|m| m.machine_failures > 0 || !m.suspect_failures.is_empty())
        };
        let mut candidates: Vec<CandidateRank> = capacities
            .iter()
            .enumerate()
            .filter(|(_, s)| s.is_eligible_for(spec) && s.reserved.is_none_or(|r| r == id))
            .filter(|(_, s)| !avoided.contains(s.machine_id))
            .filter(|(_, s)| s.fitting_tasks(spec) > 0)
            .map(|(index, s)| {
                let pool = self.pool_index(s.zone, s.machine_type);
                let routed = job.routed_by_pool.get(pool).is_some_and(|r| *r > 0);
                let machine_type = &self.machine_types[s.machine_type.index()];
                let price = machine_type.price(s.spot) * self.machine_share(spec, s.machine_type);
                CandidateRank {
                    failed_at: job.failed_on.get(&s.machine_id).copied().unwrap_or(0),
                    suspect: is_suspect(s),
                    lacks_image: !s.images.contains(&spec.image),
                    unreserved: s.reserved.is_none(),
                    not_routed: !routed,
                    micro_price: (price * 1e6) as i64,
                    free_millicpus: (s.cpus * 1000.0) as i64,
                    index,
                }
            })
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|candidate| candidate.index).collect()
    }
}
