//! Renders the leader's records from its present state, and estimates how long they are.

use crate::records::*;
use crate::state::dependencies::Dependencies;
use crate::state::fairness_accounting;
use crate::state::fleet::Fleet;
use crate::state::job::{DONE_CHUNK_PARTS, DONE_CHUNK_TASKS, Job};
use crate::state::leader_state::LeaderState;
use crate::state::machine::Machine;
use crate::state::names::*;
use crate::state::packs::{PACK_OVERHEAD_BYTES, PackId, Packs};
use crate::state::table::Table;
use crate::state::unreadable::UnreadableRecords;
use crate::state::write_queue::{RecordKey, RecordSource, WriteQueue};
use copperhaven_fairness::ledger::FairnessLedger;
use copperhaven_wire::jobs::JobBody;
use std::collections::BTreeMap;

/// Upper bound on the bytes that the tasks of one job and attempt take in a machine's record, without
/// their ranges. A record that gets too long all the same is held back.
pub const MAX_TASK_GROUP_BYTES: usize = 64;
/// Upper bound on the bytes that a range of tasks takes in a machine's record.
pub const MAX_TASK_RANGE_BYTES: usize = 9;

/// The parts of the leader state that records are rendered from.
pub struct RecordRenderer<'a> {
    /// Jobs in memory.
    pub jobs: &'a Table<JobId, Job>,
    /// Machines and their assignments.
    pub machines: &'a Table<MachineId, Machine>,
    /// Dependencies between jobs.
    pub dependencies: &'a Dependencies,
    /// Rentals.
    pub fleet: &'a Fleet,
    /// Names of machine types, zones, teams and classes.
    pub names: &'a Names,
    /// Records that can't be read, whose paths are write-protected.
    pub unreadable: &'a UnreadableRecords,
    /// Fairness counters.
    pub fairness_ledger: &'a FairnessLedger,
    /// Which machines share a stored value.
    pub packs: &'a Packs,
}

impl RecordRenderer<'_> {
    /// Returns the job of this key, if it is not accepted yet.
    fn unaccepted_job(&self, key: &RecordKey, queue: &WriteQueue) -> Option<&Job> {
        let RecordKey::Job(id) = key else { return None };
        self.jobs.get(id).filter(|job| !queue.is_saved(key, job.accept_ver))
    }

    /// Returns the record of an open job, for values of at most `value_limit` bytes.
    fn job_record(&self, job: &Job, value_limit: usize) -> JobRecord {
        let mut body = (*job.body).clone();
        let mut dependency_wait = None;
        if !job.pending_dependencies.is_empty() && !job.is_cancelled() {
            let inline = self.dependencies.inline_dependencies(job);
            let dependencies = inline.map(ToString::to_string).collect();
            dependency_wait = Some(DependencyWait {
                dependencies,
                machine_types: body.machine_types.replace(vec![]),
                parts: job.dependency_parts,
            });
        }
        let eligible_at_ms =
            (job.eligible_at_ms != job.accepted_at_ms).then_some(job.eligible_at_ms);
        let mut record = JobRecord {
            job: body,
            accepted_at_ms: job.accepted_at_ms,
            cancelled: job.is_cancelled(),
            dependency_wait,
            eligible_at_ms,
        };
        if record.cancelled && Record::Job(Box::new(record.clone())).encoded_len() > value_limit {
            // Accepted under a higher limit. Its cancellation has to be recorded; of its names only the
            // team's counts from here on.
            (record.job.class, record.job.image) = ("?".into(), "?".into());
        }
        record
    }

    /// Returns the change that writes all machines of a pack, or deletes it if it is stored and has none.
    fn pack(&self, pack: PackId, queue: &WriteQueue) -> Vec<Change> {
        let path = format!("p/{}", pack.0);
        let members = self
            .packs
            .listed_machines(pack)
            .filter_map(|machine_id| self.machines.get(&machine_id));
        let machines: BTreeMap<String, MachineRecord> =
            members.map(|m| (m.name.clone(), self.machine_record(m))).collect();
        match machines.is_empty() {
            false => {
                let value = Record::Pack(PackRecord { machines });
                vec![Change::Put { path, value, lease_id: None }]
            }
            true if queue.has_path(&path) => vec![Change::Delete { path }],
            true => vec![],
        }
    }

    fn machine_record(&self, m: &Machine) -> MachineRecord {
        let mut by_job: BTreeMap<(JobId, u64), Vec<u32>> = BTreeMap::new();
        for ((id, task), e) in &m.assignments {
            by_job.entry((*id, e.attempt)).or_default().push(*task);
        }
        let assignments = by_job
            .into_iter()
            .filter_map(|((id, attempt), tasks)| {
                let job = self.jobs.get(&id)?.spec.uid.to_string();
                Some(AssignmentRecord { job, attempt, task_ranges: to_ranges(tasks) })
            })
            .chain(m.unreadable_job_tasks.iter().cloned())
            .collect();
        MachineRecord {
            addr: m.addr.clone(),
            machine_type: self.names.types.name(m.machine_type.index()).into(),
            zone: self.names.zones.name(m.zone.index()).into(),
            spot: m.spot,
            session: m.last_report.0,
            assignments,
        }
    }
}

impl RecordSource for RecordRenderer<'_> {
    fn render(&self, key: &RecordKey, queue: &WriteQueue) -> Vec<Change> {
        let put = |path: String, value: Record| Change::Put { path, value, lease_id: None };
        match key {
            RecordKey::Job(id) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let uid = &job.spec.uid;
                if job.final_ver.is_some() {
                    let record = FinalRecord { done: !job.is_cancelled(), tasks: job.done.len() };
                    return vec![
                        put(format!("f/{uid}"), Record::Final(record)),
                        Change::Delete { path: format!("j/{uid}") },
                    ];
                }
                let record = self.job_record(job, queue.value_limit);
                vec![put(format!("j/{uid}"), Record::Job(Box::new(record)))]
            }
            RecordKey::DependencyPart(id, part) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let Some(listed) = self.dependencies.part(&job.spec.uid, *part) else {
                    return vec![];
                };
                let record = DependenciesRecord {
                    dependencies: listed.iter().map(ToString::to_string).collect(),
                };
                vec![put(format!("a/{}/{part}", job.spec.uid), Record::Links(record))]
            }
            RecordKey::DoneChunk(id, chunk) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let first_task = chunk * DONE_CHUNK_TASKS;
                let done_record = |first_task: u32, n: u32| {
                    let task_ranges = to_ranges(job.done.range(first_task, n));
                    Record::Done(DoneTasksRecord { task_ranges })
                };
                let chunk_path = format!("d/{}/{chunk}", job.spec.uid);
                let record = done_record(first_task, DONE_CHUNK_TASKS);
                // An unreadable record is left as it is; the parts serve as well.
                if record.encoded_len() <= queue.value_limit
                    && !self.unreadable.is_write_protected(&chunk_path)
                {
                    return vec![put(chunk_path, record)];
                }
                // Ranges too scattered for one value are written in parts, which an older release reads too.
                let part_tasks = DONE_CHUNK_TASKS / DONE_CHUNK_PARTS;
                let part = |p| {
                    (
                        format!("{chunk_path}/{p}"),
                        done_record(first_task + p * part_tasks, part_tasks),
                    )
                };
                let parts = (0..DONE_CHUNK_PARTS)
                    .map(part)
                    .filter(|(path, _)| !self.unreadable.is_write_protected(path));
                parts.map(|(path, record)| put(path, record)).collect()
            }
            RecordKey::Pack(pack) => self.pack(*pack, queue),
            RecordKey::Machine(machine_id) => match self.machines.get(machine_id) {
                Some(m) if let Some(pack) = self.packs.pack_of(*machine_id) => {
                    let mut changes = self.pack(pack, queue);
                    // Its own record is deleted in the same transaction.
                    let path = format!("m/{}", m.name);
                    if queue.has_path(&path) {
                        changes.push(Change::Delete { path });
                    }
                    changes
                }
                Some(m) => {
                    vec![put(format!("m/{}", m.name), Record::Machine(self.machine_record(m)))]
                }
                None => vec![],
            },
            RecordKey::Rental(name) => match self.fleet.rental_record(name, self.names) {
                Some(record) => vec![put(format!("r/{name}"), Record::Rental(record))],
                None => vec![],
            },
            RecordKey::FairnessPart(part) => {
                let parts = fairness_accounting::record_parts(
                    self.fairness_ledger,
                    self.names,
                    queue.value_limit,
                );
                let Some(rows) = parts.into_iter().nth(*part as usize) else { return vec![] };
                vec![put(
                    format!("{FAIRNESS_PREFIX}{part}"),
                    Record::Service(FairnessRecord { rows }),
                )]
            }
            RecordKey::Delete(path) => vec![Change::Delete { path: path.clone() }],
        }
    }

    fn shared_path(&self, key: &RecordKey, queue: &WriteQueue) -> Option<String> {
        let RecordKey::Machine(machine_id) = key else { return None };
        let pack = self.packs.pack_of(*machine_id)?;
        let m = self.machines.get(machine_id)?;
        (!queue.has_path(&format!("m/{}", m.name))).then(|| format!("p/{}", pack.0))
    }

    /// Nobody waits for the final record of a job that was cancelled because of a dependency.
    fn is_deferrable(&self, key: &RecordKey, queue: &WriteQueue) -> bool {
        let RecordKey::Job(id) = key else { return false };
        self.jobs
            .get(id)
            .is_some_and(|j| j.cancelled_by_dependency && queue.is_saved(key, j.accept_ver))
    }

    /// A job's record states that all its dependencies are recorded.
    fn prerequisites(&self, key: &RecordKey, queue: &WriteQueue) -> Vec<RecordKey> {
        let RecordKey::Job(id) = key else { return vec![] };
        let parts = self.unaccepted_job(key, queue).map_or(0, |job| job.dependency_parts);
        (0..parts).map(|p| RecordKey::DependencyPart(*id, p)).collect()
    }

    /// A submission may repeat that of a finished job that was evicted from memory: it is only recorded
    /// if that job has no final record.
    fn required_absent_path(&self, key: &RecordKey, queue: &WriteQueue) -> Option<String> {
        let job = self.unaccepted_job(key, queue).filter(|job| job.final_ver.is_none())?;
        Some(format!("f/{}", job.spec.uid))
    }
}

impl LeaderState {
    /// Returns an upper bound on the length in bytes of a blocked job's record without its
    /// dependencies.
    pub fn record_bytes_without_dependencies(&self, job: &JobBody) -> usize {
        let dependency_wait = Some(DependencyWait {
            dependencies: vec![],
            machine_types: job.machine_types.clone(),
            parts: u32::MAX,
        });
        let (accepted_at_ms, eligible_at_ms) = (u64::MAX, Some(u64::MAX));
        let record = JobRecord {
            job: job.clone(),
            accepted_at_ms,
            cancelled: false,
            dependency_wait,
            eligible_at_ms,
        };
        Record::Job(Box::new(record)).encoded_len()
    }

    /// Returns the bytes that a machine's record has left for more tasks. The ranges of its tasks count
    /// with what they may grow to as some of the tasks end.
    pub fn record_bytes_left(&self, m: &Machine) -> usize {
        let limit = self.write_queue.value_limit;
        // A list that is this long is alone in its pack.
        let limit =
            if self.packs.is_enabled() { limit.saturating_sub(PACK_OVERHEAD_BYTES) } else { limit };
        limit.saturating_sub(self.record_bytes_used(m))
    }

    /// Returns an upper bound on the bytes that a machine's assignments take in a value.
    pub(crate) fn record_bytes_used(&self, m: &Machine) -> usize {
        let names_bytes = self.names.types.name(m.machine_type.index()).len()
            + self.names.zones.name(m.zone.index()).len();
        // A pack also holds its name, and a few bytes around it.
        let pack_entry_bytes = if self.packs.is_enabled() { m.name.len() + 8 } else { 0 };
        let unreadable_job_bytes: usize = m
            .unreadable_job_tasks
            .iter()
            .map(|a| {
                MAX_TASK_GROUP_BYTES + a.job.len() + a.task_ranges.len() * MAX_TASK_RANGE_BYTES
            })
            .sum();
        let base = 96 + m.addr.len() + names_bytes + pack_entry_bytes + unreadable_job_bytes;
        // Most machines have few tasks, for which a rough bound is enough.
        let rough_bytes = m.assignments.len() * (MAX_TASK_GROUP_BYTES + MAX_TASK_RANGE_BYTES);
        if m.assignments.len() <= 2 {
            return base + rough_bytes;
        }
        let mut used_bytes = 0;
        let (mut last, mut run_tasks): (Option<(JobId, u64, u32)>, usize) = (None, 0);
        let ranges_bytes = |run_tasks: usize| run_tasks.div_ceil(2) * MAX_TASK_RANGE_BYTES + 2;
        for ((id, task), e) in &m.assignments {
            match last {
                Some((j, t, n)) if (j, t) == (*id, e.attempt) && n + 1 == *task => run_tasks += 1,
                Some((j, t, _)) if (j, t) == (*id, e.attempt) => {
                    used_bytes += ranges_bytes(run_tasks);
                    run_tasks = 1;
                }
                _ => {
                    let uid_bytes = self.jobs.get(id).map_or(24, |j| j.spec.uid.len());
                    used_bytes += MAX_TASK_GROUP_BYTES - 24 + uid_bytes + ranges_bytes(run_tasks);
                    run_tasks = 1;
                }
            }
            last = Some((*id, e.attempt, *task));
        }
        base + used_bytes + ranges_bytes(run_tasks)
    }
}
