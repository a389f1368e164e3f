//! The attempts of one request, and whether any of them may have run.
//!
//! A request that is not repeatable is retried only while every earlier attempt is
//! known not to have run. The caller is told "not run" only in that case, too.

/// Whether the target of one attempt ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte of the request was sent, or the target answered that it did not run
    /// the request.
    NotRun,
    /// The target ran the request or may have run it.
    MayHaveRun,
}

/// Limits on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Most attempts that may have run the request; the `max_attempts` of its route.
    pub max_runs: u32,
    /// Most attempts, including those that did not run the request.
    pub max_attempts: u32,
}

/// Counts of the attempts of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    limits: AttemptLimits,
    /// Attempts that may have run the request.
    runs: u32,
    /// All attempts.
    attempts: u32,
}

impl AttemptHistory {
    /// Creates a history without attempts.
    #[must_use]
    pub const fn new(limits: AttemptLimits) -> Self {
        Self {
            limits,
            runs: 0,
            attempts: 0,
        }
    }

    /// Records an attempt that has ended.
    pub fn record(&mut self, execution: Execution) {
        self.attempts += 1;
        if execution == Execution::MayHaveRun {
            self.runs += 1;
        }
    }

    /// Whether the request may be sent to another target.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.attempts < self.limits.max_attempts && self.allows_runs(self.runs)
    }

    /// Whether the request may be sent to another target if the attempt in progress
    /// is abandoned.
    #[must_use]
    pub const fn may_abandon_attempt(&self) -> bool {
        self.attempts + 1 < self.limits.max_attempts && self.allows_runs(self.runs + 1)
    }

    /// Whether it is certain that no attempt has run the request.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        self.runs == 0
    }

    /// Returns whether any attempt may have run the request.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        if self.proves_not_run() {
            Execution::NotRun
        } else {
            Execution::MayHaveRun
        }
    }

    const fn allows_runs(&self, runs: u32) -> bool {
        runs == 0 || (self.limits.repeatable && runs < self.limits.max_runs)
    }
}
