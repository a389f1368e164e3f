//! Division of the memory of a process among the buffers that others fill.

use bamboospur_types::BufferBudget;

/// Memory limit of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Part of the memory for requests and answers. State, connections and buffers of the operating
/// system need the rest.
const REQUESTS_DIVISOR: u64 = 4;
/// Part of the memory for frames on links. It is separate, so that no request holds up the links.
const LINKS_DIVISOR: u64 = 8;

/// Budgets for the buffers of a process.
#[derive(Clone, Debug)]
pub struct Buffers {
    /// Requests and answers.
    pub requests: BufferBudget,
    /// Frames on links.
    pub links: BufferBudget,
}

impl Buffers {
    /// Divides the memory limit of a process.
    #[must_use]
    pub fn new(memory_limit_bytes: Option<u64>) -> Self {
        let limit_bytes = memory_limit_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let budget = |divisor| {
            let bytes = usize::try_from(limit_bytes / divisor);
            BufferBudget::new(bytes.unwrap_or(usize::MAX))
        };
        Self {
            requests: budget(REQUESTS_DIVISOR),
            links: budget(LINKS_DIVISOR),
        }
    }
}
