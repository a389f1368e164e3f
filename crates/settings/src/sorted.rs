//! Map from names to values, stored as one sorted array.
//!
//! A `BTreeMap` allocates room for 11 entries at once. A team has one to three
//! entries in most maps: with `BTreeMap`s, 11,000 teams used 24.4 MB instead of
//! 14.9 MB, above the limit of 16 MB for a tree (`examples/tree_bytes.rs`).

use std::fmt;
use std::marker::PhantomData;

use serde::de::{MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Map sorted by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SortedMap<V> {
    entries: Box<[(Box<str>, V)]>,
}

impl<V> SortedMap<V> {
    /// Returns the value of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&V> {
        let found = self
            .entries
            .binary_search_by(|(key, _)| key.as_ref().cmp(name));
        found.ok().map(|index| &self.entries[index].1)
    }

    /// Iterates in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &V)> {
        self.entries
            .iter()
            .map(|(name, value)| (name.as_ref(), value))
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl<V> Default for SortedMap<V> {
    fn default() -> Self {
        Self {
            entries: Box::default(),
        }
    }
}

impl<V> FromIterator<(String, V)> for SortedMap<V> {
    /// Collects entries; of entries with the same name, the last one is kept.
    fn from_iter<I: IntoIterator<Item = (String, V)>>(entries: I) -> Self {
        let ordered: std::collections::BTreeMap<String, V> = entries.into_iter().collect();
        let entries = ordered
            .into_iter()
            .map(|(name, value)| (name.into_boxed_str(), value))
            .collect();
        Self { entries }
    }
}

impl<V: Serialize> Serialize for SortedMap<V> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(self.entries.len()))?;
        for (name, value) in &self.entries {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

struct SortedMapVisitor<V> {
    value: PhantomData<V>,
}

impl<'de, V: Deserialize<'de>> Visitor<'de> for SortedMapVisitor<V> {
    type Value = SortedMap<V>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a table")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry::<String, V>()? {
            entries.push(entry);
        }
        Ok(entries.into_iter().collect())
    }
}

impl<'de, V: Deserialize<'de>> Deserialize<'de> for SortedMap<V> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(SortedMapVisitor { value: PhantomData })
    }
}
