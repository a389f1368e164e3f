//! Second step: who sends the request, and what that team may use.

use std::sync::Arc;
use std::time::Duration;

use bamboospur_settings::{Fleet, KeyHash, Team};
use bamboospur_types::{ResultCode, TeamId, stable_id};

use super::accept::Ask;
use super::node::Node;
use super::refused::Refused;
use crate::actors::ControlMessage;
use crate::edge::Incoming;
use crate::mailbox::MainLoopMessage;
use crate::operators;

/// Pause asked of callers while the instance starts.
const START_PAUSE: Duration = Duration::from_secs(1);

/// The team of a caller, with the settings in force.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the team.
    pub team_name: String,
    /// Settings of the team.
    pub team: Arc<Team>,
    /// Settings of the fleet.
    pub fleet: Arc<Fleet>,
}

impl Identity {
    /// Returns the id of the team.
    #[must_use]
    pub fn team_id(&self) -> TeamId {
        stable_id(&self.team_name)
    }
}

/// Finds the team by the bearer key; only the key's hash leaves this function.
pub fn identify(node: &Node, incoming: &Incoming) -> Result<Identity, Refused> {
    let refused = |message| Err(Refused::new(ResultCode::Unauthenticated, message));
    let Some(value) = incoming.header("authorization") else {
        return refused("the request has no team key; send Authorization: Bearer KEY");
    };
    let Some(key) = bearer(value) else {
        return refused("the Authorization header is not of the form Bearer KEY");
    };
    let key = KeyHash::from_secret(key);
    let found = node
        .mailbox
        .request(|reply| MainLoopMessage::Control(ControlMessage::Identify { key, reply }));
    match found {
        Some(Some(identity)) => Ok(identity),
        Some(None) if !operators::has_settings(node) => {
            let message = "the instance has no settings yet; send the request to another one";
            Err(Refused::retry(ResultCode::NotReady, message, START_PAUSE))
        }
        Some(None) => refused("no team has this key; check the key"),
        None => Err(Refused::no_main_loop()),
    }
}

/// Returns the token of a `Bearer` header.
#[must_use]
pub fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Checks that the team may use the model.
pub fn allow(identity: &Identity, ask: &Ask) -> Result<(), Refused> {
    let Some(offer) = &ask.model else {
        return Ok(());
    };
    let adapter = offer.adapter.as_deref();
    if identity.team.may_use(&offer.model, &offer.version, adapter) {
        return Ok(());
    }
    let message = format!("the team may not use {offer}; ask the operators for access");
    Err(Refused::new(ResultCode::Forbidden, message))
}
