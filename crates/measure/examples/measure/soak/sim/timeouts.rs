//! Time-outs of the requests in progress.

use super::message::FinalAnswer;
use super::oracle::ViolationKind;
use super::requests::Stage;
use super::router::LiveRouter;
use super::world::World;

/// Limit of a placement; the time-outs of the placer are far shorter.
const PLACEMENT_TIMEOUT_US: u64 = 2_000_000;

impl World {
    /// Retries or ends the requests whose time-outs have passed.
    pub fn jobs_tick(&mut self, index: usize, live: &mut LiveRouter) {
        let sends: Vec<u64> = live.jobs.keys().copied().collect();
        for send in sends {
            let now_us = self.now_us;
            let Some(job) = live.jobs.get(&send) else {
                continue;
            };
            let deadline_us = job.deadline_us;
            match job.stage {
                Stage::Running {
                    attempt, until_us, ..
                } if now_us >= until_us => {
                    self.attempt_failed(index, live, attempt, true);
                }
                Stage::Placing { since_us, .. } if now_us >= since_us + PLACEMENT_TIMEOUT_US => {
                    let what = format!("router {index} got no placement for send {send}");
                    self.fail(ViolationKind::Internal, what);
                    if let Some(job) = live.jobs.remove(&send) {
                        self.give_up(index, live, job, 500);
                    }
                }
                Stage::Claim { until_us, .. } if now_us >= until_us => {
                    if let Some(job) = live.jobs.remove(&send) {
                        self.give_up(index, live, job, 500);
                    }
                }
                Stage::Claim { retry_us, .. } if now_us >= retry_us => {
                    live.leader = None;
                    if let Some(job) = live.jobs.remove(&send) {
                        self.request_claim(index, live, job);
                    }
                }
                Stage::Watch { .. } if now_us >= deadline_us => {
                    if let Some(job) = live.jobs.remove(&send) {
                        self.finish_without_claim(index, live, job, FinalAnswer::Unknown);
                    }
                }
                Stage::Watch { retry_us, .. } if now_us >= retry_us => {
                    live.leader = None;
                    if let Some(job) = live.jobs.remove(&send) {
                        self.request_watch(index, live, job);
                    }
                }
                _ => {}
            }
        }
    }
}
