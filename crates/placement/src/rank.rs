//! Weighted rendezvous hashing.

use bamboospur_types::{InstanceId, TargetId, mix64};

/// Returns the part of a score's hash that depends on the node alone.
#[must_use]
pub fn hash_node_id(node: u64) -> u64 {
    mix64(node ^ 0x9e37_79b9_7f4a_7c15)
}

/// Returns the rendezvous score of a node for `key`; the highest score wins.
///
/// The score is `-weight / ln(u)` with `u` uniform in (0, 1), so that each
/// node wins a share of the keys in proportion to its weight.
#[must_use]
pub fn rendezvous_score(key: u64, mixed: u64, weight: f64) -> f64 {
    let hash = mix64(key ^ mixed);
    #[expect(clippy::cast_precision_loss, reason = "53 bits are kept on purpose")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the router that keeps the count of `target`.
#[must_use]
pub fn owner(target: TargetId, routers: &[InstanceId]) -> Option<InstanceId> {
    routers
        .iter()
        .copied()
        .max_by_key(|router| (mix64(target ^ mix64(*router)), *router))
}

/// Keeps the `N` nodes with the highest scores, best first.
#[derive(Debug)]
pub struct Best<const N: usize> {
    entries: [(f64, TargetId); N],
    len: usize,
}

impl<const N: usize> Best<N> {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: [(f64::NEG_INFINITY, 0); N],
            len: 0,
        }
    }

    /// Offers a node.
    pub fn offer(&mut self, score: f64, node: TargetId) {
        let rank = self.entries[..self.len]
            .iter()
            .position(|(other, _)| score > *other)
            .unwrap_or(self.len);
        if rank >= N {
            return;
        }
        self.len = (self.len + 1).min(N);
        self.entries[rank..self.len].rotate_right(1);
        self.entries[rank] = (score, node);
    }

    /// Returns the nodes, best first.
    pub fn nodes(&self) -> impl Iterator<Item = TargetId> + '_ {
        self.entries[..self.len].iter().map(|(_, node)| *node)
    }
}
