//! Third step: the team's share.

use bamboospur_limits::{Admission, Ticket};

use super::accept::Ask;
use super::authenticate::Identity;
use super::node::Node;
use super::refused::Refused;
use crate::actors::RouterMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// An admitted request; dropping it returns the share.
#[derive(Debug)]
pub struct Admitted {
    mailbox: Mailbox,
    ticket: Option<Ticket>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let mail = RouterMessage::Release { ticket };
            self.mailbox.send(MainLoopMessage::Router(mail));
        }
    }
}

/// Admits a request or refuses it before anything was sent.
pub fn admit(node: &Node, ask: &Ask, identity: &Identity) -> Result<Admitted, Refused> {
    let answer = node.mailbox.request(|reply| {
        MainLoopMessage::Router(RouterMessage::Admit {
            team: identity.team_id(),
            work_tokens: ask.work_tokens,
            priority: identity.team.priority,
            reply,
        })
    });
    match answer {
        Some(Admission::Granted(ticket)) => Ok(Admitted {
            mailbox: node.mailbox.clone(),
            ticket: Some(ticket),
        }),
        Some(Admission::Refused { code, retry_after }) => {
            let message = "the team's share is in use; send the request again later";
            Err(Refused::retry(code, message, retry_after))
        }
        None => Err(Refused::no_main_loop()),
    }
}
