//! Counted licences: things of which there are only so many in the whole installation, treated like memory.
//! No task starts without its shares, and every share comes back when the task is proven to be nowhere.
//!
//! Decisions and state alone: no socket, no clock. `declare` is what operators write, `need` what a job asks
//! for, `count` what may be held, `server` what others hold by a licence server's word, `room` how many more
//! tasks may start. See `docs/licences.md`.

pub mod count;
pub mod declare;
pub mod need;
pub mod room;
pub mod server;

/// A declared licence, in the order of declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LicenceId(pub u32);

impl LicenceId {
    pub fn ix(self) -> usize {
        self.0 as usize
    }
}

/// Who holds, as the caller numbers them: teams, zones and machines by their dense indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    pub team: u32,
    pub zone: u32,
    pub machine: u32,
}
