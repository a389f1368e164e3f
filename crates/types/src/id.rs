//! Ids are 64-bit hashes of the names that operators and targets use.
//!
//! The hash is part of the wire format: every instance must compute the same
//! id for a name, across versions and processor types.

/// Stable hash of a target's announced name.
pub type TargetId = u64;
/// Stable hash of an instance's configured name.
pub type InstanceId = u64;
/// Stable hash of a team's name.
pub type TeamId = u64;
/// Stable hash of a team and its chat id.
pub type ChatId = u64;
/// Stable hash of a pool's name.
pub type PoolId = u64;
/// Stable hash of an offer in its text form.
pub type OfferId = u64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes a name to its id: FNV-1a followed by a 64-bit finalizer.
#[must_use]
pub fn stable_id(name: &str) -> u64 {
    let mut hash = FNV_OFFSET;
    for byte in name.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(FNV_PRIME);
    }
    mix64(hash)
}

/// Mixes all bits of a value with the `SplitMix64` finalizer.
#[must_use]
pub const fn mix64(value: u64) -> u64 {
    let mut mixed = value;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
