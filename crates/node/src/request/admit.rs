//! Step 3: admits a request within the team's limits on this router.

use bamboospur_limits::{Admission, AdmissionTicket};

use super::accept::CheckedRequest;
use super::authenticate::Identity;
use super::error::RequestError;
use super::node::Node;
use crate::actors::RouterMessage;
use crate::mailbox::{Mailbox, MainLoopMessage};

/// An admitted request; dropping it releases the part of the team's limit that
/// it uses.
#[derive(Debug)]
pub struct Admitted {
    mailbox: Mailbox,
    ticket: Option<AdmissionTicket>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let message = RouterMessage::Release { ticket };
            self.mailbox.send(MainLoopMessage::Router(message));
        }
    }
}

/// Admits a request, or rejects it if the team has reached its limit.
pub fn admit(
    node: &Node,
    request: &CheckedRequest,
    identity: &Identity,
) -> Result<Admitted, RequestError> {
    let answer = node.mailbox.request(|reply| {
        MainLoopMessage::Router(RouterMessage::Admit {
            team: identity.team_id(),
            work_tokens: request.work_tokens,
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
            Err(RequestError::with_retry_after(code, message, retry_after))
        }
        None => Err(RequestError::no_main_loop()),
    }
}
