//! Step 2: identifies the team of the caller and checks its access to the model.

use std::sync::Arc;
use std::time::Duration;

use bamboospur_settings::{Fleet, KeyHash, Team};
use bamboospur_types::{ResultCode, TeamId, stable_id};

use super::accept::CheckedRequest;
use super::error::RequestError;
use super::node::Node;
use crate::actors::ControlMessage;
use crate::edge::IncomingRequest;
use crate::mailbox::MainLoopMessage;
use crate::operators;

/// `Retry-After` for requests that arrive before the settings have been received.
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `Retry-After` for requests that settings may allow which a cut-off instance has missed.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The team that sent a request, with the settings in force at that time.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the team in the settings of the fleet.
    pub team_name: String,
    /// Settings of this team.
    pub team: Arc<Team>,
    /// Settings of the fleet.
    pub fleet: Arc<Fleet>,
}

impl Identity {
    /// Returns the id that is derived from the name of the team.
    #[must_use]
    pub fn team_id(&self) -> TeamId {
        stable_id(&self.team_name)
    }
}

/// Finds the team by the bearer key. Only the hash of the key leaves this
/// function, so that the key itself is not stored or logged.
pub fn identify(node: &Node, incoming: &IncomingRequest) -> Result<Identity, RequestError> {
    let unauthenticated = |message| Err(RequestError::new(ResultCode::Unauthenticated, message));
    let Some(value) = incoming.header("authorization") else {
        return unauthenticated("the request has no team key; send Authorization: Bearer KEY");
    };
    let Some(key) = bearer_token(value) else {
        return unauthenticated("the Authorization header is not of the form Bearer KEY");
    };
    let key = KeyHash::from_secret(key);
    let found = node
        .mailbox
        .request(|reply| MainLoopMessage::Control(ControlMessage::Identify { key, reply }));
    match found {
        Some(Some(identity)) => Ok(identity),
        Some(None) if !operators::has_settings(node) => {
            let message = "the instance has no settings yet; send the request to another one";
            Err(RequestError::with_retry_after(
                ResultCode::NotReady,
                message,
                STARTING_RETRY_AFTER,
            ))
        }
        Some(None) => Err(RequestError::by_settings(
            ResultCode::Unauthenticated,
            "no team has this key; check the key",
        )),
        None => Err(RequestError::no_main_loop()),
    }
}

/// Returns the token in the value of an `Authorization: Bearer` header, or
/// `None` for another scheme or an empty token.
#[must_use]
pub fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !token.is_empty()).then_some(token)
}

/// Checks that the team may use the model; calls to services pass.
pub fn check_model_access(
    identity: &Identity,
    request: &CheckedRequest,
) -> Result<(), RequestError> {
    let Some(offer) = &request.model else {
        return Ok(());
    };
    let adapter = offer.adapter.as_deref();
    if identity.team.may_use(&offer.model, &offer.version, adapter) {
        return Ok(());
    }
    let message = format!("the team may not use {offer}; ask the operators for access");
    Err(RequestError::by_settings(ResultCode::Forbidden, message))
}

/// Returns the error for a request that is refused. An instance without contact to the leader
/// of the control group may have missed settings that allow the request.
pub fn final_refusal(node: &Node, error: RequestError) -> RequestError {
    if !error.depends_on_settings || operators::has_current_settings(node) {
        return error;
    }
    let message = "the instance is cut off from the control group and may have missed settings; \
                   send the request to another one";
    RequestError::with_retry_after(ResultCode::NotReady, message, CUT_OFF_RETRY_AFTER)
}
