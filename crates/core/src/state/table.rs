//! Rows under a dense index each, found by name as well: jobs and machines.

use std::collections::HashMap;
use std::collections::btree_map::{self, BTreeMap};
use std::ops::Index;
use std::sync::Arc;

/// What is kept in a table under its own name.
pub trait HasName {
    fn name(&self) -> Arc<str>;
}

#[derive(Debug)]
pub struct Table<I, T> {
    rows: BTreeMap<I, T>,
    ids: HashMap<Arc<str>, I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Self {
        Table { rows: BTreeMap::new(), ids: HashMap::new() }
    }
}

impl<I: Copy + Ord, T: HasName> Table<I, T> {
    pub fn insert(&mut self, id: I, row: T) {
        self.ids.insert(row.name(), id);
        self.rows.insert(id, row);
    }

    /// Takes a row out; its name leads nowhere from here on.
    pub fn remove(&mut self, id: &I) -> Option<T> {
        let row = self.rows.remove(id)?;
        self.ids.remove(&row.name());
        Some(row)
    }
}

impl<I: Copy + Ord, T> Table<I, T> {
    /// The index of the row with this name.
    pub fn id_of(&self, name: &str) -> Option<I> {
        self.ids.get(name).copied()
    }

    pub fn contains_name(&self, name: &str) -> bool {
        self.ids.contains_key(name)
    }

    pub fn get(&self, id: &I) -> Option<&T> {
        self.rows.get(id)
    }

    pub fn get_mut(&mut self, id: &I) -> Option<&mut T> {
        self.rows.get_mut(id)
    }

    pub fn contains_key(&self, id: &I) -> bool {
        self.rows.contains_key(id)
    }

    pub fn iter(&self) -> btree_map::Iter<'_, I, T> {
        self.rows.iter()
    }

    pub fn keys(&self) -> impl Iterator<Item = &I> {
        self.rows.keys()
    }

    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.rows.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.rows.values_mut()
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl<I: Ord, T> Index<&I> for Table<I, T> {
    type Output = T;
    fn index(&self, id: &I) -> &T {
        &self.rows[id]
    }
}

impl<'a, I, T> IntoIterator for &'a Table<I, T> {
    type Item = (&'a I, &'a T);
    type IntoIter = btree_map::Iter<'a, I, T>;
    fn into_iter(self) -> Self::IntoIter {
        self.rows.iter()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    impl HasName for &'static str {
        fn name(&self) -> Arc<str> {
            (*self).into()
        }
    }

    #[test]
    fn a_name_leads_to_its_row_and_to_nothing_once_it_is_gone() {
        let mut t: Table<u32, &'static str> = Table::default();
        t.insert(3, "c");
        t.insert(1, "a");
        assert_eq!((t.id_of("c"), t.id_of("a"), t.id_of("b")), (Some(3), Some(1), None));
        assert_eq!(t.iter().map(|(i, _)| *i).collect::<Vec<_>>(), [1, 3], "in order of index");
        assert_eq!((t.remove(&3), t.remove(&3)), (Some("c"), None));
        assert!(!t.contains_name("c") && t.get(&3).is_none() && t[&1] == "a" && t.len() == 1);
    }
}
