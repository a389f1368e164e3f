//! Ids cut to 32 bits, and the lists that resolve them.

use std::collections::BTreeMap;

/// Low 32 bits of an id, as raw bytes: a hash does not get shorter as a
/// variable-length number.
pub type ShortId = [u8; 4];

/// Cuts an id.
#[must_use]
pub const fn short(id: u64) -> ShortId {
    let bytes = id.to_le_bytes();
    [bytes[0], bytes[1], bytes[2], bytes[3]]
}

/// Full ids by their short form.
///
/// Two ids of a fleet of 3,000 members share a short form with a chance of
/// 0.1%. Such ids are left out, so that messages about them are dropped instead
/// of being taken for the other member's.
#[derive(Clone, Debug, Default)]
pub struct ShortIdMap {
    ids: BTreeMap<ShortId, Option<u64>>,
}

impl ShortIdMap {
    /// Adds an id; a second one with the same short form makes both unknown.
    pub fn insert(&mut self, id: u64) {
        let entry = self.ids.entry(short(id)).or_insert(Some(id));
        if *entry != Some(id) {
            *entry = None;
        }
    }

    /// Returns the full id.
    #[must_use]
    pub fn resolve(&self, short: ShortId) -> Option<u64> {
        self.ids.get(&short).copied().flatten()
    }
}

impl FromIterator<u64> for ShortIdMap {
    fn from_iter<I: IntoIterator<Item = u64>>(ids: I) -> Self {
        let mut names = Self::default();
        ids.into_iter().for_each(|id| names.insert(id));
        names
    }
}
