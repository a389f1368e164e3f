//! TCP probes of targets whose heartbeats are missing.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use bamboospur_membership::MembershipInput;
use bamboospur_types::{Incarnation, TargetId};

use crate::actors::MembersMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

const STACK_BYTES: usize = 64 * 1024;

/// Connects to a target on a new thread and reports the result to the members actor.
pub fn start(
    mailbox: Mailbox,
    target: TargetId,
    incarnation: Incarnation,
    address: SocketAddr,
    timeout: Duration,
) {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    let spawned = builder.spawn(move || {
        let alive = TcpStream::connect_timeout(&address, timeout).is_ok();
        let input = MembershipInput::ProbeFinished {
            target,
            incarnation,
            alive,
        };
        mailbox.send(MainLoopMessage::Members(MembersMessage::Notify(Box::new(
            input,
        ))));
    });
    if let Err(error) = spawned {
        // Membership treats a missing result as a failed probe.
        tracing::error!(%error, "failed to start a probe thread; the target counts as unreachable");
    }
}
