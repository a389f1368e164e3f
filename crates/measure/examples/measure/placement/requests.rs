//! Requests on engines: their start, their end, and crashes of targets and routers.

use super::world::{ENGINE_CAPACITY_TOKENS, Event, Job, RunningRequest, Simulation};

/// Size of an engine's prefix cache.
const CACHE_CAPACITY_TOKENS: u64 = 1_000_000;
/// Share of the cache events that reach no router.
const EVICTION_EVENT_LOSS_RATE: f64 = 0.05;

impl Simulation<'_> {
    /// Starts a request on a target. `router` is empty and `ticket` unused for the
    /// baselines, which have no placer.
    pub fn start_request(&mut self, target: usize, ticket: u64, router: Option<usize>, job: Job) {
        let arrival = job.arrival;
        let engine = &mut self.engines[target];
        let reused = engine
            .cached_tokens_for(arrival.chat)
            .min(arrival.prefix_tokens);
        let cold_work = u64::from(arrival.prompt_tokens + arrival.output_tokens);
        let work = cold_work - (f64::from(reused) * (1.0 - 1.0 / 16.0)) as u64;
        engine.start_request(work);
        let excess_tokens = engine.load_tokens.saturating_sub(ENGINE_CAPACITY_TOKENS);
        let queueing_s = excess_tokens as f64 / (ENGINE_CAPACITY_TOKENS as f64 / 10.0);
        let evicted = engine.store_chat(arrival.chat, cold_work as u32, CACHE_CAPACITY_TOKENS);
        let incarnation = engine.incarnation;
        if self.measuring() {
            self.tally.requests += 1;
            self.tally.prompt_tokens += u64::from(arrival.prompt_tokens);
            self.tally.reused_tokens += u64::from(reused);
            self.tally.queueing_s += queueing_s;
        }
        for chat in evicted {
            if self.random.uniform() < EVICTION_EVENT_LOSS_RATE || router.is_none() {
                continue;
            }
            let receiver = self.random.below(self.placers.len());
            let delay_us = 500_000 + self.random.below(2_500_000) as u64;
            self.schedule_at(
                self.now_us + delay_us,
                Event::Evicted {
                    router: receiver,
                    target,
                    chat,
                },
            );
        }
        if arrival.hinted {
            self.hints.insert(arrival.chat, self.target_ids[target]);
        }
        let prefill_s = f64::from(arrival.prompt_tokens - reused) / 8_000.0;
        let duration_s = 0.2 + prefill_s + f64::from(arrival.output_tokens) * 0.035 + queueing_s;
        self.sequence += 1;
        let id = self.sequence;
        self.running.insert(
            id,
            RunningRequest {
                target,
                incarnation,
                router,
                ticket,
                work,
                job,
            },
        );
        self.schedule_at(self.now_us + (duration_s * 1e6) as u64, Event::Finish(id));
    }

    pub fn finish_request(&mut self, id: u64) {
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let engine = &mut self.engines[running.target];
        if engine.incarnation == running.incarnation {
            engine.finish_request(running.work);
        }
        let now = self.now();
        if let Some(placer) = running.router.and_then(|r| self.placers[r].as_mut()) {
            placer.finish(running.ticket, now);
        }
    }

    /// Fails the requests of a crashed target; their routers retry them on another
    /// target after one second.
    pub fn fail_requests(&mut self, target: usize) {
        let lost = self.running.iter().filter(|(_, run)| run.target == target);
        let mut lost: Vec<u64> = lost.map(|(id, _)| *id).collect();
        lost.sort_unstable();
        for id in lost {
            let at_us = self.now_us + 1_000_000;
            self.schedule_at(at_us, Event::Finish(id));
            let mut job = self.running[&id].job.clone();
            job.excluded = vec![self.target_ids[target]];
            self.schedule_at(at_us, Event::Retry(job));
        }
    }

    /// Drops a router's state. Its callers retry after 0.5 s; its requests run on
    /// for at most 5 s.
    pub fn crash_router(&mut self, router: usize) {
        self.placers[router] = None;
        let end_us = self.now_us + 5_000_000;
        let mut orphaned: Vec<u64> = Vec::new();
        for (id, run) in &mut self.running {
            if run.router == Some(router) {
                run.router = None;
                orphaned.push(*id);
            }
        }
        orphaned.sort_unstable();
        for id in orphaned {
            let job = self.running[&id].job.clone();
            self.schedule_at(self.now_us + 500_000, Event::Retry(job));
            self.schedule_at(end_us, Event::Finish(id));
        }
        let mut unplaced: Vec<(usize, u64)> = self.awaiting_reservation.keys().copied().collect();
        unplaced.retain(|(asking_router, _)| *asking_router == router);
        unplaced.sort_unstable();
        for key in unplaced {
            if let Some((job, _)) = self.awaiting_reservation.remove(&key) {
                self.schedule_at(self.now_us + 500_000, Event::Retry(job));
            }
        }
    }
}
