//! Counters of a control instance.

use std::fmt::Write;

/// Events since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Reports of targets.
    pub reports: u64,
    /// Changes and reads that operators asked for here.
    pub operator_calls: u64,
    /// Configurations that came in force.
    pub configs: u64,
    /// Changes of the leader.
    pub elections: u64,
    /// Writes that failed.
    pub disk_failures: u64,
    /// Invariants that were violated.
    pub violations: u64,
}

/// Present state.
#[derive(Clone, Copy, Debug)]
pub struct Gauges {
    /// Version in force.
    pub config_version: u64,
    /// Whether this instance leads.
    pub leads: bool,
    /// Voters of the group.
    pub voters: usize,
    /// Targets that take work.
    pub targets: usize,
    /// Accepted links.
    pub links: usize,
    /// Routers that pass news on.
    pub relays: usize,
}

impl Counters {
    /// Returns the counters in the text format of Prometheus.
    pub fn text(&self, gauges: &Gauges) -> String {
        let number = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let lines = [
            ("target_reports_total", self.reports),
            ("operator_calls_total", self.operator_calls),
            ("configs_total", self.configs),
            ("elections_total", self.elections),
            ("disk_failures_total", self.disk_failures),
            ("violations_total", self.violations),
            ("log_lines_dropped_total", crate::log::dropped_lines()),
            ("config_version", gauges.config_version),
            ("leads", u64::from(gauges.leads)),
            ("voters", number(gauges.voters)),
            ("targets_usable", number(gauges.targets)),
            ("links_accepted", number(gauges.links)),
            ("relays", number(gauges.relays)),
        ];
        let mut text = String::new();
        for (name, value) in lines {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "bamboospur_{name} {value}");
        }
        text
    }
}
