//! Max-min fair division of a quantity among demands.

/// Returns the part of `total` that the demand at `index` gets, or 0 if there is
/// no such demand.
///
/// Small demands are met in full, and the others get equal parts of the rest. The
/// remainder of that division goes to the first demands that are not met in full,
/// one unit each.
#[must_use]
pub fn max_min(demands: &[u64], total: u64, index: usize) -> u64 {
    let Some(own) = demands.get(index).copied() else {
        return 0;
    };
    let mut sorted = demands.to_vec();
    sorted.sort_unstable();
    let mut left = total;
    let mut count = u64::try_from(sorted.len()).unwrap_or(u64::MAX);
    for demand in sorted {
        let part = left / count.max(1);
        if demand > part {
            let spare = left % count;
            let cut_before = demands[..index]
                .iter()
                .filter(|other| **other > part)
                .count();
            let extra = u64::try_from(cut_before).unwrap_or(u64::MAX) < spare;
            return own.min(part + u64::from(extra));
        }
        left -= demand;
        count -= 1;
    }
    own
}
