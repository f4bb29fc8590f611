//! A table whose rows are found by index and by name; it holds the jobs and the machines.

use std::collections::HashMap;
use std::collections::btree_map::{self, BTreeMap};
use std::ops::Index;
use std::sync::Arc;

/// A row that a table can find by name.
pub trait HasName {
    /// Returns the name, which must not change while the row is in a table.
    fn name(&self) -> Arc<str>;
}

/// Rows by index, in order, with a second lookup by name.
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
    /// Adds a row, replacing one with the same index.
    pub fn insert(&mut self, id: I, row: T) {
        self.ids.insert(row.name(), id);
        self.rows.insert(id, row);
    }

    /// Removes the row with this index and its name, and returns it.
    pub fn remove(&mut self, id: &I) -> Option<T> {
        let row = self.rows.remove(id)?;
        self.ids.remove(&row.name());
        Some(row)
    }
}

impl<I: Copy + Ord, T> Table<I, T> {
    /// Returns the index of the row with this name.
    pub fn id_of(&self, name: &str) -> Option<I> {
        self.ids.get(name).copied()
    }

    /// Returns whether there is a row with this name.
    pub fn contains_name(&self, name: &str) -> bool {
        self.ids.contains_key(name)
    }

    /// Returns the row with this index.
    pub fn get(&self, id: &I) -> Option<&T> {
        self.rows.get(id)
    }

    /// Returns the row with this index for modification.
    pub fn get_mut(&mut self, id: &I) -> Option<&mut T> {
        self.rows.get_mut(id)
    }

    /// Returns whether there is a row with this index.
    pub fn contains_key(&self, id: &I) -> bool {
        self.rows.contains_key(id)
    }

    /// Iterates over indices and rows in order of index.
    pub fn iter(&self) -> btree_map::Iter<'_, I, T> {
        self.rows.iter()
    }

    /// Iterates over the indices in order.
    pub fn keys(&self) -> impl Iterator<Item = &I> {
        self.rows.keys()
    }

    /// Iterates over the rows in order of index.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.rows.values()
    }

    /// Iterates over the rows in order of index, for modification.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.rows.values_mut()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no rows.
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
    fn rows_are_found_by_name_until_removed() {
        let mut t: Table<u32, &'static str> = Table::default();
        t.insert(3, "c");
        t.insert(1, "a");
        assert_eq!((t.id_of("c"), t.id_of("a"), t.id_of("b")), (Some(3), Some(1), None));
        assert_eq!(t.iter().map(|(i, _)| *i).collect::<Vec<_>>(), [1, 3], "in order of index");
        assert_eq!((t.remove(&3), t.remove(&3)), (Some("c"), None));
        assert!(!t.contains_name("c") && t.get(&3).is_none() && t[&1] == "a" && t.len() == 1);
    }
}
