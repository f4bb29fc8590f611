//! Dense indices for names. Names are replaced by indices where they enter the leader; its state and decisions use only
//! the indices.

use crate::settings::Settings;
use std::collections::HashMap;
use std::sync::Arc;

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(
            /// The index.
            pub u32,
        );
        impl From<usize> for $name {
            fn from(i: usize) -> Self { $name(i as u32) }
        }
        impl $name {
            /// Returns the index for use in vectors.
            pub fn index(self) -> usize { self.0 as usize }
        }
    )*};
}

index!(
    /// A team that owns jobs.
    TeamId,
    /// A zone of the deployment.
    ZoneId,
    /// A machine type; also its index in `LeaderState::machine_types`.
    TypeId,
    /// A class of jobs.
    ClassId,
    /// An image that tasks need.
    ImageId,
    /// A job in the leader's memory.
    JobId,
    /// A machine in the leader's memory.
    MachineId
);

/// Assigns each new name the next free index and maps names to indices and back.
#[derive(Debug)]
pub struct Interner<I> {
    names: Vec<Arc<str>>,
    index: HashMap<Arc<str>, I>,
}

impl<I> Default for Interner<I> {
    fn default() -> Self {
        Interner { names: Vec::new(), index: HashMap::new() }
    }
}

impl<I: Copy + From<usize>> Interner<I> {
    /// Returns the index of a name; `None` if the name is unknown.
    pub fn get(&self, name: &str) -> Option<I> {
        self.index.get(name).copied()
    }

    /// Returns the index of a name, assigning one if the name is new.
    pub fn intern(&mut self, name: &str) -> I {
        if let Some(i) = self.get(name) {
            return i;
        }
        let i = I::from(self.names.len());
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.index.insert(name, i);
        i
    }

    /// Returns the name with this index, or `?` if there is none.
    pub fn name(&self, index: usize) -> &str {
        self.names.get(index).map_or("?", |n| n)
    }

    /// Returns the number of names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The names known to a leader. They are never removed.
#[derive(Debug, Default)]
pub struct Names {
    /// Teams, in the order of the settings.
    pub teams: Interner<TeamId>,
    /// Zones: those of the settings in their order, then others that the cloud names.
    pub zones: Interner<ZoneId>,
    /// Labels of machine types.
    pub types: Interner<TypeId>,
    /// Classes of jobs.
    pub classes: Interner<ClassId>,
    /// Images of tasks.
    pub images: Interner<ImageId>,
}

impl Names {
    /// Creates the names with the teams and zones of the settings.
    pub fn new(settings: &Settings) -> Names {
        let mut names = Names::default();
        for t in &settings.deployment.teams {
            names.teams.intern(&t.name);
        }
        for z in &settings.deployment.zones {
            names.zones.intern(z);
        }
        names
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn interning_a_name_again_returns_its_index() {
        let mut names: Interner<TeamId> = Interner::default();
        let a = names.intern("a");
        assert_eq!(names.intern("b"), TeamId(1));
        assert_eq!(names.intern("a"), a);
        assert_eq!(names.get("c"), None);
        assert_eq!(names.name(1), "b");
    }
}
