//! Metrics of a control instance.

use std::fmt::Write;

/// Counts of events since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Reports that targets sent to this instance.
    pub reports: u64,
    /// Changes and reads that operators requested from this instance.
    pub operator_calls: u64,
    /// Configurations that came into force.
    pub configs: u64,
    /// Bytes of large frames that were sent to routers.
    pub bulk_bytes: u64,
    /// Changes of the leader.
    pub elections: u64,
    /// Writes to the log that failed.
    pub disk_failures: u64,
    /// Calls of leaving targets that were refused for lack of copies.
    pub refused_departures: u64,
    /// Violations of invariants of the group.
    pub violations: u64,
}

/// Current values of the host's state.
#[derive(Clone, Copy, Debug)]
pub struct Gauges {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether this instance is the leader.
    pub leads: bool,
    /// Number of voters in the group.
    pub voters: usize,
    /// Number of targets that accept new work.
    pub targets: usize,
    /// Number of accepted links.
    pub links: usize,
    /// Number of routers that relay updates.
    pub relays: usize,
    /// Number of large frames that wait for bandwidth.
    pub bulk_waiting: usize,
    /// Number of streams whose origin is known.
    pub streams: usize,
    /// Number of targets that state a limit on their requests.
    pub target_limits: usize,
    /// Number of parts of prompts that are blocked because they crash targets.
    pub blocked_parts: usize,
    /// Messages about crashes that were dropped because too many waited for bandwidth.
    pub dropped_crash_messages: u64,
    /// Bytes in the buffers that others fill.
    pub buffered_bytes: usize,
    /// How often such a buffer could not grow.
    pub refused_buffers: u64,
}

impl Counters {
    /// Returns counters and gauges in the text format of Prometheus.
    pub fn text(&self, gauges: &Gauges) -> String {
        let number = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let lines = [
            ("target_reports_total", self.reports),
            ("operator_calls_total", self.operator_calls),
            ("configs_total", self.configs),
            ("bulk_bytes_total", self.bulk_bytes),
            ("elections_total", self.elections),
            ("refused_departures_total", self.refused_departures),
            ("disk_failures_total", self.disk_failures),
            ("violations_total", self.violations),
            ("log_lines_dropped_total", crate::log::dropped_lines()),
            ("config_version", gauges.config_version),
            ("leads", u64::from(gauges.leads)),
            ("voters", number(gauges.voters)),
            ("targets_usable", number(gauges.targets)),
            ("links_accepted", number(gauges.links)),
            ("relays", number(gauges.relays)),
            ("bulk_waiting", number(gauges.bulk_waiting)),
            ("streams_known", number(gauges.streams)),
            ("target_limits", number(gauges.target_limits)),
            ("parts_blocked", number(gauges.blocked_parts)),
            ("buffered_bytes", number(gauges.buffered_bytes)),
            ("buffers_refused_total", gauges.refused_buffers),
            (
                "crash_messages_dropped_total",
                gauges.dropped_crash_messages,
            ),
        ];
        let mut text = String::new();
        for (name, value) in lines {
            // Writing to a string does not fail.
            let _ = writeln!(text, "bamboospur_{name} {value}");
        }
        text
    }
}
