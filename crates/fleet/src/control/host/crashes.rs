//! Parts of prompts that crash targets, as routers report them.

use std::time::Instant;

use bamboospur_crashes::CrashMessage;
use bamboospur_dispatch::target_start_id;
use bamboospur_registry::StartTime;
use tracing::{info, warn};

use super::Host;
use crate::link::{Frame, LinkId};

impl Host {
    pub(super) fn handle_crash_message(&mut self, message: CrashMessage, now: Instant) {
        if let CrashMessage::Crashed { target, parts } = &message {
            info!(
                target,
                parts = parts.len(),
                "a target ended while it processed requests of a router"
            );
        }
        let messages = self.crash_hub.handle(message, now);
        self.queue_crash_messages(messages, now);
    }

    /// Blocks the parts that have been watched for long enough.
    pub(super) fn block_parts(&mut self, now: Instant) {
        let messages = self.crash_hub.tick(now);
        self.queue_crash_messages(messages, now);
    }

    /// Records the report of a target, which may have been taken for ended.
    pub(super) fn record_alive(&mut self, name: &str, start: StartTime, now: Instant) {
        let target = target_start_id(name, start);
        if !self.crash_hub.has_crash(target) {
            return;
        }
        let released = self.crash_hub.record_alive(target, now);
        if !self.crash_hub.has_crash(target) {
            info!(
                target_name = name,
                "a target reports that routers took for ended; its end counts against no request"
            );
        }
        self.queue_crash_messages(released, now);
    }

    /// Tells a router that has linked what it may have missed.
    pub(super) fn send_crash_state(&self, link: LinkId, now: Instant) {
        for message in self.crash_hub.state(now) {
            self.send_to_link(link, &Frame::Crashes(message));
        }
    }

    fn queue_crash_messages(&mut self, messages: Vec<CrashMessage>, now: Instant) {
        for message in &messages {
            match message {
                CrashMessage::Blocked(parts) => warn!(
                    ?parts,
                    "parts of prompts crash targets; routers reject requests with them"
                ),
                CrashMessage::Released(parts) => info!(
                    ?parts,
                    "blocked parts of prompts are released; routers accept them again"
                ),
                _ => {}
            }
        }
        self.crash_outbox.push(messages);
        self.send_crash_messages(now);
    }

    /// Sends messages to every router directly, as far as their share of the bandwidth allows:
    /// they are short and rare, and each further request with a crashing part ends a target. A
    /// link whose queue is full carries what is more important, and misses them.
    pub(super) fn send_crash_messages(&mut self, now: Instant) {
        let links = self.router_links();
        while let Some(message) = self.crash_outbox.pop(links.len(), now) {
            self.links.try_send(&links, &Frame::Crashes(message));
        }
    }
}
