//! Weighted rendezvous hashing.

use bamboospur_types::{InstanceId, TargetId, mix64};

/// Returns the hash of a node id. [`rendezvous_score`] takes the hash instead of the
/// id, so that a caller can compute it once per node.
#[must_use]
pub fn hash_node_id(node: u64) -> u64 {
    mix64(node ^ 0x9e37_79b9_7f4a_7c15)
}

/// Returns the rendezvous score of a node for `key`; the highest score wins.
///
/// The score is `-weight / ln(u)` with `u` uniform in (0, 1), so that each
/// node wins a share of the keys in proportion to its weight.
#[must_use]
pub fn rendezvous_score(key: u64, node_hash: u64, weight: f64) -> f64 {
    let hash = mix64(key ^ node_hash);
    #[expect(clippy::cast_precision_loss, reason = "53 bits are kept on purpose")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}

/// Returns the router that owns `target`, by unweighted rendezvous hashing;
/// `None` if `routers` is empty.
#[must_use]
pub fn owner_of(target: TargetId, routers: &[InstanceId]) -> Option<InstanceId> {
    routers
        .iter()
        .copied()
        .max_by_key(|router| (mix64(target ^ mix64(*router)), *router))
}

/// Keeps the `N` nodes with the highest scores, best first.
#[derive(Debug)]
pub struct TopNodes<const N: usize> {
    entries: [(f64, TargetId); N],
    len: usize,
}

impl<const N: usize> TopNodes<N> {
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: [(f64::NEG_INFINITY, 0); N],
            len: 0,
        }
    }

    /// Inserts a node if its score is among the `N` highest; drops the lowest if
    /// the list is full.
    pub fn insert(&mut self, score: f64, node: TargetId) {
        let position = self.entries[..self.len]
            .iter()
            .position(|(other, _)| score > *other)
            .unwrap_or(self.len);
        if position >= N {
            return;
        }
        self.len = (self.len + 1).min(N);
        self.entries[position..self.len].rotate_right(1);
        self.entries[position] = (score, node);
    }

    /// Returns the nodes, best first.
    pub fn nodes(&self) -> impl Iterator<Item = TargetId> + '_ {
        self.entries[..self.len].iter().map(|(_, node)| *node)
    }
}
