//! Division of the limits of a process.

use bamboospur_fleet::memory::{Buffers, ControlDoors, ProcessLimits, RouterDoors};
use bamboospur_http1::DoorSettings;

const MEGABYTE: u64 = 1024 * 1024;
/// Part of the memory for state, connections to targets and the allocator, in percent.
const UNDIVIDED_PERCENT: usize = 30;
/// Descriptors that the platform keeps for files.
const FILE_DESCRIPTORS: usize = 200;

/// Memory and descriptors of machines of the platform, and of the tests.
const MACHINES: [(u64, usize); 4] = [(260, 4_100), (256, 4_096), (160, 4_100), (100, 1_500)];

fn unread_bytes(doors: &[DoorSettings]) -> usize {
    doors.iter().map(DoorSettings::unread_bytes).sum()
}

fn connections(doors: &[DoorSettings]) -> usize {
    doors.iter().map(|door| door.connections).sum()
}

/// Buffers and unread bytes of all listeners together leave memory for everything else, and all
/// connections together leave descriptors.
#[test]
fn all_shares_together_stay_within_the_limits() {
    for (memory_mb, descriptors) in MACHINES {
        let limits = ProcessLimits::new(Some(memory_mb * MEGABYTE), Some(descriptors));
        let buffers = Buffers::new(limits);
        let buffer_bytes = buffers.requests.limit_bytes() + buffers.links.limit_bytes();
        let router = RouterDoors::from(limits);
        let callers = router.callers.connections;
        let router = [
            router.callers,
            router.readiness,
            router.reports,
            router.links,
            router.metrics,
        ];
        let control = ControlDoors::from(limits);
        let control = [control.calls, control.links, control.metrics];
        let memory_bytes = usize::try_from(memory_mb * MEGABYTE).expect("a size");
        let divisible_bytes = memory_bytes / 100 * (100 - UNDIVIDED_PERCENT);
        assert!(buffer_bytes + unread_bytes(&router) <= divisible_bytes);
        assert!(buffer_bytes + unread_bytes(&control) <= divisible_bytes);
        // Each request in progress has a connection to a target.
        let to_targets = callers + limits.idle_connections();
        assert!(connections(&router) + to_targets + FILE_DESCRIPTORS < descriptors);
        assert!(connections(&control) + FILE_DESCRIPTORS < descriptors);
    }
}

#[test]
fn settings_without_limits_or_with_extreme_ones_give_each_listener_connections() {
    let machines = [
        (None, None),
        (Some(0), Some(0)),
        (Some(u64::MAX), Some(usize::MAX)),
    ];
    for (memory_bytes, descriptors) in machines {
        let limits = ProcessLimits::new(memory_bytes, descriptors);
        let doors = RouterDoors::from(limits);
        for door in [doors.callers, doors.readiness, doors.links, doors.metrics] {
            assert!(door.connections > 0, "{memory_bytes:?} {descriptors:?}");
        }
    }
}
