//! Parts of prompts that crash targets, as routers report them.

use std::time::Instant;

use bamboospur_crashes::CrashMessage;
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
        self.send_crash_messages(messages);
    }

    /// Blocks the parts that have been watched for long enough.
    pub(super) fn block_parts(&mut self, now: Instant) {
        let messages = self.crash_hub.tick(now);
        self.send_crash_messages(messages);
    }

    /// Tells a router that has linked what it may have missed.
    pub(super) fn send_crash_state(&self, link: LinkId, now: Instant) {
        for message in self.crash_hub.state(now) {
            self.send_to_link(link, &Frame::Crashes(message));
        }
    }

    /// Sends messages to every router directly: they are short and rare, and each further
    /// request with a crashing part ends a target.
    fn send_crash_messages(&mut self, messages: Vec<CrashMessage>) {
        for message in messages {
            match &message {
                CrashMessage::Blocked(parts) => warn!(
                    ?parts,
                    "parts of prompts crash targets; routers reject requests with them"
                ),
                CrashMessage::Released(parts) => info!(
                    ?parts,
                    "blocked parts of prompts were answered; routers accept them again"
                ),
                _ => {}
            }
            self.send_to_routers(&Frame::Crashes(message));
        }
    }
}
