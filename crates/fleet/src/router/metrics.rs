//! Counters and a latency histogram of a router.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bamboospur_types::ResultCode;

/// Upper bounds of the histogram's buckets, in milliseconds.
const BUCKETS_MS: [u64; 10] = [10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 12_000];

/// Counters of a router.
#[derive(Debug, Default)]
pub struct Metrics {
    results: BTreeMap<ResultCode, u64>,
    latency_counts: [u64; BUCKETS_MS.len() + 1],
    latency_sum_ms: u64,
    retries: u64,
    connections: u64,
    reused_connections: u64,
    resumes: u64,
    rejected_resumes: u64,
    stated_limits: u64,
}

impl Metrics {
    /// Counts a request that has ended, by result and by duration.
    pub fn record_request(&mut self, code: ResultCode, took: Duration) {
        *self.results.entry(code).or_default() += 1;
        let millis = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let bucket = BUCKETS_MS.iter().position(|&bound| millis <= bound);
        self.latency_counts[bucket.unwrap_or(BUCKETS_MS.len())] += 1;
        self.latency_sum_ms = self.latency_sum_ms.saturating_add(millis);
    }

    pub fn record_retry(&mut self) {
        self.retries += 1;
    }

    /// Counts an attempt, by whether its connection is new or reused.
    pub fn record_connection(&mut self, reused: bool) {
        if reused {
            self.reused_connections += 1;
        } else {
            self.connections += 1;
        }
    }

    /// Counts a stream that a caller resumes, by whether its origin is known.
    pub fn record_resume(&mut self, known: bool) {
        if known {
            self.resumes += 1;
        } else {
            self.rejected_resumes += 1;
        }
    }

    /// Counts an answer that states a limit on the requests of its target.
    pub fn record_stated_limit(&mut self) {
        self.stated_limits += 1;
    }

    /// Returns the counters and `gauges` in the Prometheus text format.
    pub fn text(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "bamboospur_{name} {value}");
        };
        for (code, count) in &self.results {
            line(&format!("requests_total{{code=\"{code}\"}}"), *count);
        }
        let mut total = 0;
        for (index, count) in self.latency_counts.iter().enumerate() {
            total += count;
            let bound = BUCKETS_MS
                .get(index)
                .map_or("+Inf".to_owned(), u64::to_string);
            line(&format!("request_ms_bucket{{le=\"{bound}\"}}"), total);
        }
        line("request_ms_sum", self.latency_sum_ms);
        line("request_ms_count", total);
        line("retries_total", self.retries);
        line("target_connections_total", self.connections);
        line("target_connections_reused_total", self.reused_connections);
        line("stream_resumes_total", self.resumes);
        line("stream_resumes_rejected_total", self.rejected_resumes);
        line("target_limits_stated_total", self.stated_limits);
        line("log_lines_dropped_total", crate::log::dropped_lines());
        for (name, value) in gauges {
            line(name, *value);
        }
        text
    }
}
