//! Wire format of cached prefixes: the prefixes of each target together.
//!
//! After the start of a fleet, all routers get all of them, over links that have no room to
//! name the target with each. Hashes are evenly distributed, so they have a fixed length.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

type WireHash = [u8; 8];

/// Serialises pairs of the hashes of a prefix and of a target.
pub fn serialize<S: Serializer>(prefixes: &[(u64, u64)], serializer: S) -> Result<S::Ok, S::Error> {
    let mut by_target: BTreeMap<WireHash, Vec<WireHash>> = BTreeMap::new();
    for &(prefix, target) in prefixes {
        let of_target = by_target.entry(target.to_le_bytes()).or_default();
        of_target.push(prefix.to_le_bytes());
    }
    by_target.serialize(serializer)
}

/// Deserialises what [`serialize`] wrote, ordered by target.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<(u64, u64)>, D::Error> {
    let by_target: BTreeMap<WireHash, Vec<WireHash>> = BTreeMap::deserialize(deserializer)?;
    let pairs = by_target.into_iter().flat_map(|(target, prefixes)| {
        let target = u64::from_le_bytes(target);
        let prefixes = prefixes.into_iter();
        prefixes.map(move |prefix| (u64::from_le_bytes(prefix), target))
    });
    Ok(pairs.collect())
}
