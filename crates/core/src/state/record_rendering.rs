//! What the records of a cell say: each is rendered from the state as it is now.

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

/// What a group of tasks and a range of it take of a machine's record at most; a record that gets
/// too long all the same is held back.
pub const MAX_TASK_GROUP_BYTES: usize = 64;
pub const MAX_TASK_RANGE_BYTES: usize = 9;

/// The owners of what is recorded.
pub struct RecordRenderer<'a> {
    pub jobs: &'a Table<JobId, Job>,
    pub machines: &'a Table<MachineId, Machine>,
    pub links: &'a Dependencies,
    pub fleet: &'a Fleet,
    pub names: &'a Names,
    pub aside: &'a UnreadableRecords,
    pub service: &'a FairnessLedger,
    pub packs: &'a Packs,
}

impl RecordRenderer<'_> {
    /// The job of this key, if it is not accepted yet.
    fn new_job(&self, key: &RecordKey, ledger: &WriteQueue) -> Option<&Job> {
        let RecordKey::Job(id) = key else { return None };
        self.jobs.get(id).filter(|job| !ledger.is_saved(key, job.accept_ver))
    }

    /// The record of an open job.
    fn job_record(&self, job: &Job, most: usize) -> JobRecord {
        let mut body = (*job.body).clone();
        let mut waits = None;
        if !job.pending_dependencies.is_empty() && !job.is_cancelled() {
            let listed = self.links.inline_dependencies(job);
            let on = listed.map(ToString::to_string).collect();
            waits = Some(DependencyWait {
                dependencies: on,
                machine_types: body.machine_types.replace(vec![]),
                parts: job.dependency_parts,
            });
        }
        let since = (job.eligible_at_ms != job.accepted_at_ms).then_some(job.eligible_at_ms);
        let mut record = JobRecord {
            job: body,
            accepted_at_ms: job.accepted_at_ms,
            cancelled: job.is_cancelled(),
            dependency_wait: waits,
            eligible_at_ms: since,
        };
        if record.cancelled && Record::Job(Box::new(record.clone())).encoded_len() > most {
            // Accepted under a higher limit. That it is cancelled has to be recorded; of its names
            // only the team's counts from here on.
            (record.job.class, record.job.image) = ("?".into(), "?".into());
        }
        record
    }

    /// All machines of a pack; none: it is to go, if it is there.
    fn pack(&self, pack: PackId, ledger: &WriteQueue) -> Vec<Change> {
        let path = format!("p/{}", pack.0);
        let members = self.packs.listed_machines(pack).filter_map(|mid| self.machines.get(&mid));
        let packed: BTreeMap<String, MachineRecord> =
            members.map(|m| (m.name.clone(), self.machine_record(m))).collect();
        match packed.is_empty() {
            false => {
                let v = Record::Pack(PackRecord { machines: packed });
                vec![Change::Put { path, value: v, lease_id: None }]
            }
            true if ledger.has_path(&path) => vec![Change::Delete { path }],
            true => vec![],
        }
    }

    fn machine_record(&self, m: &Machine) -> MachineRecord {
        let mut by_job: BTreeMap<(JobId, u64), Vec<u32>> = BTreeMap::new();
        for ((id, task), e) in &m.assignments {
            by_job.entry((*id, e.attempt)).or_default().push(*task);
        }
        let on = by_job
            .into_iter()
            .filter_map(|((id, t), tasks)| {
                let j = self.jobs.get(&id)?.spec.uid.to_string();
                Some(AssignmentRecord { job: j, attempt: t, task_ranges: to_ranges(tasks) })
            })
            .chain(m.unreadable_job_tasks.iter().cloned())
            .collect();
        MachineRecord {
            addr: m.addr.clone(),
            machine_type: self.names.types.name(m.machine_type.index()).into(),
            zone: self.names.zones.name(m.zone.index()).into(),
            spot: m.spot,
            session: m.last_report.0,
            assignments: on,
        }
    }
}

impl RecordSource for RecordRenderer<'_> {
    fn render(&self, key: &RecordKey, ledger: &WriteQueue) -> Vec<Change> {
        let put = |put: String, v: Record| Change::Put { path: put, value: v, lease_id: None };
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
                let record = self.job_record(job, ledger.value_limit);
                vec![put(format!("j/{uid}"), Record::Job(Box::new(record)))]
            }
            RecordKey::DependencyPart(id, part) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let Some(on) = self.links.part(&job.spec.uid, *part) else { return vec![] };
                let record = DependenciesRecord {
                    dependencies: on.iter().map(ToString::to_string).collect(),
                };
                vec![put(format!("a/{}/{part}", job.spec.uid), Record::Links(record))]
            }
            RecordKey::DoneChunk(id, chunk) => {
                let Some(job) = self.jobs.get(id) else { return vec![] };
                let from = chunk * DONE_CHUNK_TASKS;
                let ranges = |from: u32, n: u32| {
                    let r = to_ranges(job.done.range(from, n));
                    Record::Done(DoneTasksRecord { task_ranges: r })
                };
                let whole = format!("d/{}/{chunk}", job.spec.uid);
                let record = ranges(from, DONE_CHUNK_TASKS);
                // A record that can't be read is left as it is; the parts are as good.
                if record.encoded_len() <= ledger.value_limit
                    && !self.aside.is_write_protected(&whole)
                {
                    return vec![put(whole, record)];
                }
                // Too scattered for one value: in parts, which an older version reads as well.
                let n = DONE_CHUNK_TASKS / DONE_CHUNK_PARTS;
                let part = |p| (format!("{whole}/{p}"), ranges(from + p * n, n));
                let parts = (0..DONE_CHUNK_PARTS)
                    .map(part)
                    .filter(|(path, _)| !self.aside.is_write_protected(path));
                parts.map(|(path, record)| put(path, record)).collect()
            }
            RecordKey::Pack(pack) => self.pack(*pack, ledger),
            RecordKey::Machine(mid) => match self.machines.get(mid) {
                Some(m) if let Some(pack) = self.packs.pack_of(*mid) => {
                    let mut changes = self.pack(pack, ledger);
                    // Its own record goes in the same moment.
                    let own = format!("m/{}", m.name);
                    if ledger.has_path(&own) {
                        changes.push(Change::Delete { path: own });
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
                let parts =
                    fairness_accounting::record_parts(self.service, self.names, ledger.value_limit);
                let Some(rows) = parts.into_iter().nth(*part as usize) else { return vec![] };
                vec![put(
                    format!("{FAIRNESS_PREFIX}{part}"),
                    Record::Service(FairnessRecord { rows }),
                )]
            }
            RecordKey::Delete(path) => vec![Change::Delete { path: path.clone() }],
        }
    }

    fn shared_path(&self, key: &RecordKey, ledger: &WriteQueue) -> Option<String> {
        let RecordKey::Machine(mid) = key else { return None };
        let pack = self.packs.pack_of(*mid)?;
        let m = self.machines.get(mid)?;
        (!ledger.has_path(&format!("m/{}", m.name))).then(|| format!("p/{}", pack.0))
    }

    /// Nobody waits for the end of a job that follows from another's.
    fn is_deferrable(&self, key: &RecordKey, ledger: &WriteQueue) -> bool {
        let RecordKey::Job(id) = key else { return false };
        self.jobs
            .get(id)
            .is_some_and(|j| j.cancelled_by_dependency && ledger.is_saved(key, j.accept_ver))
    }

    /// A job's record says that all it waits for is recorded.
    fn prerequisites(&self, key: &RecordKey, ledger: &WriteQueue) -> Vec<RecordKey> {
        let RecordKey::Job(id) = key else { return vec![] };
        let parts = self.new_job(key, ledger).map_or(0, |job| job.dependency_parts);
        (0..parts).map(|p| RecordKey::DependencyPart(*id, p)).collect()
    }

    /// A submission may repeat that of a job that is over and has left the memory: it is only
    /// recorded if there is no final record of it.
    fn required_absent_path(&self, key: &RecordKey, ledger: &WriteQueue) -> Option<String> {
        let job = self.new_job(key, ledger).filter(|job| job.final_ver.is_none())?;
        Some(format!("f/{}", job.spec.uid))
    }
}

impl LeaderState {
    /// How long the record of a waiting job is without the jobs that it waits for.
    pub fn record_bytes_without_dependencies(&self, job: &JobBody) -> usize {
        let waits = Some(DependencyWait {
            dependencies: vec![],
            machine_types: job.machine_types.clone(),
            parts: u32::MAX,
        });
        let (at, since) = (u64::MAX, Some(u64::MAX));
        let record = JobRecord {
            job: job.clone(),
            accepted_at_ms: at,
            cancelled: false,
            dependency_wait: waits,
            eligible_at_ms: since,
        };
        Record::Job(Box::new(record)).encoded_len()
    }

    /// Bytes that a machine's record has left for more tasks, counting what the ranges of those on
    /// it may grow to as some of them end.
    pub fn record_bytes_left(&self, m: &Machine) -> usize {
        let most = self.write_queue.value_limit;
        // Alone in a pack, if it is that long.
        let most =
            if self.packs.is_enabled() { most.saturating_sub(PACK_OVERHEAD_BYTES) } else { most };
        most.saturating_sub(self.record_bytes_used(m))
    }

    /// Bytes that the list of a machine takes of a value at most.
    pub(crate) fn record_bytes_used(&self, m: &Machine) -> usize {
        let names = self.names.types.name(m.machine_type.index()).len()
            + self.names.zones.name(m.zone.index()).len();
        // Its name stands in a pack, and a little around it.
        let packed = if self.packs.is_enabled() { m.name.len() + 8 } else { 0 };
        let foreign: usize = m
            .unreadable_job_tasks
            .iter()
            .map(|on| {
                MAX_TASK_GROUP_BYTES + on.job.len() + on.task_ranges.len() * MAX_TASK_RANGE_BYTES
            })
            .sum();
        let base = 96 + m.addr.len() + names + packed + foreign;
        // Most machines hold few tasks: no need to look closer.
        let rough = m.assignments.len() * (MAX_TASK_GROUP_BYTES + MAX_TASK_RANGE_BYTES);
        if m.assignments.len() <= 2 {
            return base + rough;
        }
        let mut used = 0;
        let (mut last, mut run): (Option<(JobId, u64, u32)>, usize) = (None, 0);
        let ranges = |run: usize| run.div_ceil(2) * MAX_TASK_RANGE_BYTES + 2;
        for ((id, task), e) in &m.assignments {
            match last {
                Some((j, t, n)) if (j, t) == (*id, e.attempt) && n + 1 == *task => run += 1,
                Some((j, t, _)) if (j, t) == (*id, e.attempt) => {
                    used += ranges(run);
                    run = 1;
                }
                _ => {
                    let id = self.jobs.get(id).map_or(24, |j| j.spec.uid.len());
                    used += MAX_TASK_GROUP_BYTES - 24 + id + ranges(run);
                    run = 1;
                }
            }
            last = Some((*id, e.attempt, *task));
        }
        base + used + ranges(run)
    }
}
