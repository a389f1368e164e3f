//! What is proved about the attempts of one request.
//!
//! A request that is not repeatable is sent again only while every attempt is
//! proved not to have run. "Not run" is told to the caller only on that proof.

/// What one attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte left, or the target said that it did not run the request.
    NotRun,
    /// The target ran the request or may have.
    MayHaveRun,
}

/// Bounds on the attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Most targets that may run it.
    pub runs: u32,
    /// Most targets that it is offered to, refusals included.
    pub offers: u32,
}

/// Attempts of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    limits: AttemptLimits,
    runs: u32,
    offers: u32,
}

impl AttemptHistory {
    /// Starts without attempts.
    #[must_use]
    pub const fn new(limits: AttemptLimits) -> Self {
        Self {
            limits,
            runs: 0,
            offers: 0,
        }
    }

    /// Records the end of an attempt.
    pub fn record(&mut self, proved: Execution) {
        self.offers += 1;
        if proved == Execution::MayHaveRun {
            self.runs += 1;
        }
    }

    /// Whether the request may be sent to another target.
    #[must_use]
    pub const fn may_retry(&self) -> bool {
        self.offers < self.limits.offers && self.allows_runs(self.runs)
    }

    /// Whether it may still be sent to another target if the attempt under way
    /// is given up.
    #[must_use]
    pub const fn may_abandon_attempt(&self) -> bool {
        self.offers + 1 < self.limits.offers && self.allows_runs(self.runs + 1)
    }

    /// Whether no attempt can have run.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        self.runs == 0
    }

    const fn allows_runs(&self, runs: u32) -> bool {
        runs == 0 || (self.limits.repeatable && runs < self.limits.runs)
    }
}
