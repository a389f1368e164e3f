//! Messages between the routers: packets, delivery, loss and byte counts.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_placement::{PACKET_OVERHEAD_BYTES, PlacementMessage, PlacementOutput};

use super::world::{Event, Simulation};

/// Share of the packets between routers that are lost.
const MESSAGE_LOSS_RATE: f64 = 0.01;

impl Simulation<'_> {
    pub fn deliver(&mut self, to: usize, from: usize, message: PlacementMessage) {
        let (now, sender) = (self.now(), self.router_ids[from]);
        let Some(placer) = &mut self.placers[to] else {
            return;
        };
        let started = Instant::now();
        let outputs = placer.handle(message, sender, now);
        self.add_handling_time(started);
        self.apply_outputs(to, outputs);
    }

    pub fn tick(&mut self, router: usize) {
        let now = self.now();
        let Some(placer) = &mut self.placers[router] else {
            return;
        };
        let started = Instant::now();
        let outputs = placer.tick(now);
        self.add_handling_time(started);
        self.apply_outputs(router, outputs);
    }

    /// Adds the real time since `started` to the cost of the control traffic.
    fn add_handling_time(&mut self, started: Instant) {
        if self.measuring() {
            self.tally.handling_ns += started.elapsed().as_nanos() as u64;
        }
    }

    /// Carries out what a router's placer asks for.
    pub fn apply_outputs(&mut self, router: usize, outputs: Vec<PlacementOutput>) {
        let mut messages = Vec::new();
        for output in outputs {
            match output {
                PlacementOutput::Send { to, message } => messages.push((to, message)),
                PlacementOutput::Placed { ticket, target, .. } => {
                    if let Some((job, requested_us)) =
                        self.awaiting_reservation.remove(&(router, ticket))
                    {
                        if self.measuring() {
                            self.tally
                                .reservation_waits_us
                                .push((self.now_us - requested_us) as u32);
                        }
                        self.send_to_target(router, ticket, target, job);
                    }
                }
                PlacementOutput::Refused { ticket, .. } => {
                    if let Some((job, _)) = self.awaiting_reservation.remove(&(router, ticket)) {
                        self.schedule_at(self.now_us + 1_000_000, Event::Retry(job));
                    }
                    self.tally.refused += u64::from(self.measuring());
                }
                PlacementOutput::Violation { what } => eprintln!("violation: {what}"),
            }
        }
        self.send_messages(router, messages);
    }

    /// Packs the messages by receiver, counts their bytes and delivers the packets
    /// that are not lost.
    pub fn send_messages(&mut self, from: usize, messages: Vec<(u64, PlacementMessage)>) {
        let mut packets: BTreeMap<u64, Vec<PlacementMessage>> = BTreeMap::new();
        for (to, message) in messages {
            packets.entry(to).or_default().push(message);
        }
        for (to, messages) in packets {
            let Some(to) = self.router_ids.iter().position(|id| *id == to) else {
                continue;
            };
            let body: usize = messages.iter().map(PlacementMessage::body_bytes).sum();
            let bytes = (body + PACKET_OVERHEAD_BYTES * body.div_ceil(1_150)) as u64;
            let lost = self.random.uniform() < MESSAGE_LOSS_RATE;
            if self.measuring() {
                self.tally.sent_bytes[from] += bytes;
                self.tally.sent_bytes[to] += if lost { 0 } else { bytes };
            }
            if lost {
                continue;
            }
            let extra_delay_us = if self.random.uniform() < 0.02 {
                4_000
            } else {
                0
            };
            let at_us = self.now_us + 700 + self.random.below(600) as u64 + extra_delay_us;
            for message in messages {
                self.schedule_at(at_us, Event::Deliver { to, from, message });
            }
        }
    }
}
