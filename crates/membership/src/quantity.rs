//! Quantisation of loads to 8 bits: a logarithmic scale with 8 steps per doubling,
//! so that a reported load is at most an eighth below the exact value.

const STEPS_PER_DOUBLING: u32 = 8;
const MAX_EXACT_VALUE: u64 = 7;

/// Quantises a value, rounding down. Values up to 7 are exact; all values from
/// 16,106,127,360 on share the largest code.
#[must_use]
pub fn quantise(value: u64) -> u8 {
    if value <= MAX_EXACT_VALUE {
        return u8::try_from(value).unwrap_or(0);
    }
    let doublings = value.ilog2();
    let step = (value >> (doublings - 3)) & MAX_EXACT_VALUE;
    let code = (doublings - 2) * STEPS_PER_DOUBLING + u32::try_from(step).unwrap_or(0);
    u8::try_from(code).unwrap_or(u8::MAX)
}

/// Returns the smallest value that is quantised to this code.
#[must_use]
pub const fn dequantise(code: u8) -> u64 {
    if code as u64 <= MAX_EXACT_VALUE {
        return code as u64;
    }
    let doublings = code as u32 / STEPS_PER_DOUBLING + 2;
    let step = code as u64 % STEPS_PER_DOUBLING as u64;
    (STEPS_PER_DOUBLING as u64 + step) << (doublings - 3)
}
