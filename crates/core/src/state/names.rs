//! Names are mapped to dense indices at the door; inside, only the indices travel.

use crate::settings::Settings;
use std::collections::HashMap;
use std::sync::Arc;

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u32);
        impl From<usize> for $name {
            fn from(i: usize) -> Self { $name(i as u32) }
        }
        impl $name {
            pub fn index(self) -> usize { self.0 as usize }
        }
    )*};
}

index!(
    /// A team that owns jobs.
    TeamId,
    /// A zone of the deployment.
    ZoneId,
    /// A machine type.
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

/// Gives each name the next free index and keeps both directions.
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
    pub fn get(&self, name: &str) -> Option<I> {
        self.index.get(name).copied()
    }

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

    pub fn name(&self, ix: usize) -> &str {
        self.names.get(ix).map_or("?", |n| n)
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// Every name that the service has met.
#[derive(Debug, Default)]
pub struct Names {
    pub teams: Interner<TeamId>,
    pub zones: Interner<ZoneId>,
    pub types: Interner<TypeId>,
    pub classes: Interner<ClassId>,
    pub images: Interner<ImageId>,
}

impl Names {
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
    fn same_name_same_index() {
        let mut names: Interner<TeamId> = Interner::default();
        let a = names.intern("a");
        assert_eq!(names.intern("b"), TeamId(1));
        assert_eq!(names.intern("a"), a);
        assert_eq!(names.get("c"), None);
        assert_eq!(names.name(1), "b");
    }
}
