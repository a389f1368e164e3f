//! Division of the memory and the descriptors of a process among what others can make it hold:
//! requests, answers and frames in buffers, and what has arrived unread on connections.
//!
//! Each listener has connections of its own, so that callers leave room for the fleet and for
//! operators, and the other way round. State, connections to targets and what the allocator keeps
//! need the memory that is not divided here.

use bamboospur_http1::DoorSettings;
use bamboospur_types::BufferBudget;

/// Memory limit of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 256 * 1024 * 1024;
/// Descriptor limit of a process whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Descriptors for files, listeners and links that the process dials.
const RESERVED_DESCRIPTORS: usize = 300;
/// Fewest and most descriptors to divide, whatever the settings say.
const MIN_DESCRIPTORS: usize = 64;
const MAX_DESCRIPTORS: usize = 1_000_000;
/// Part of the memory for requests and answers.
const REQUESTS_DIVISOR: usize = 4;
/// Part of the memory for what has arrived unread on the connections of callers or operators.
const UNREAD_DIVISOR: usize = 6;
/// Part of the memory for frames on links. It is separate, so that no request holds up the links.
const LINKS_DIVISOR: usize = 8;
/// Part of the memory for what has arrived unread on links.
const UNREAD_LINKS_DIVISOR: usize = 12;
/// Part of the memory for what has arrived unread at the port for reports.
const UNREAD_REPORTS_DIVISOR: usize = 64;
/// Part of the memory for what has arrived unread at the port for readiness, and at that for
/// metrics.
const UNREAD_CHECKS_DIVISOR: usize = 256;
/// Backlog of the listeners for callers, operators and targets.
const BACKLOG: u16 = 512;
/// Backlog of the listener for links.
const LINKS_BACKLOG: u16 = 256;
/// Backlog of the listeners for readiness and metrics.
const CHECKS_BACKLOG: u16 = 32;

/// What a process may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    memory_bytes: usize,
    /// Descriptors for connections that the process accepts, and for those to targets.
    descriptors: usize,
}

impl ProcessLimits {
    /// Limits from the settings of a process, which may leave them out.
    #[must_use]
    pub fn new(memory_bytes: Option<u64>, descriptors: Option<usize>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        Self {
            memory_bytes: usize::try_from(memory_bytes).unwrap_or(usize::MAX),
            descriptors: descriptors
                .saturating_sub(RESERVED_DESCRIPTORS)
                .clamp(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
        }
    }

    /// Returns the most idle connections to targets.
    #[must_use]
    pub const fn idle_connections(&self) -> usize {
        self.descriptors / 8
    }

    fn checks(&self) -> DoorSettings {
        let unread_bytes = self.memory_bytes / UNREAD_CHECKS_DIVISOR;
        DoorSettings::new(self.descriptors / 64, CHECKS_BACKLOG, unread_bytes)
    }
}

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
    pub fn new(limits: ProcessLimits) -> Self {
        Self {
            requests: BufferBudget::new(limits.memory_bytes / REQUESTS_DIVISOR),
            links: BufferBudget::new(limits.memory_bytes / LINKS_DIVISOR),
        }
    }
}

/// Listeners of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterDoors {
    /// Callers. Each request in progress takes another descriptor, to its target.
    pub callers: DoorSettings,
    /// Checks of the balancer.
    pub readiness: DoorSettings,
    /// Reports of targets.
    pub reports: DoorSettings,
    /// Links of other processes.
    pub links: DoorSettings,
    /// Metrics.
    pub metrics: DoorSettings,
}

impl From<ProcessLimits> for RouterDoors {
    fn from(limits: ProcessLimits) -> Self {
        let ProcessLimits {
            memory_bytes,
            descriptors,
        } = limits;
        let unread_bytes = |divisor| memory_bytes / divisor;
        Self {
            callers: DoorSettings::new(descriptors * 5 / 16, BACKLOG, unread_bytes(UNREAD_DIVISOR)),
            readiness: limits.checks(),
            reports: DoorSettings::new(
                descriptors / 16,
                CHECKS_BACKLOG,
                unread_bytes(UNREAD_REPORTS_DIVISOR),
            ),
            links: DoorSettings::new(
                descriptors / 8,
                LINKS_BACKLOG,
                unread_bytes(UNREAD_LINKS_DIVISOR),
            ),
            metrics: limits.checks(),
        }
    }
}

/// Listeners of a control instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlDoors {
    /// Calls of operators and targets.
    pub calls: DoorSettings,
    /// Links of other processes.
    pub links: DoorSettings,
    /// Metrics.
    pub metrics: DoorSettings,
}

impl From<ProcessLimits> for ControlDoors {
    fn from(limits: ProcessLimits) -> Self {
        let ProcessLimits {
            memory_bytes,
            descriptors,
        } = limits;
        Self {
            calls: DoorSettings::new(descriptors / 2, BACKLOG, memory_bytes / UNREAD_DIVISOR),
            links: DoorSettings::new(
                descriptors / 4,
                LINKS_BACKLOG,
                memory_bytes / UNREAD_LINKS_DIVISOR,
            ),
            metrics: limits.checks(),
        }
    }
}
