//! Handles the requests of callers; each step of a request has its own module.

mod accept;
mod admit;
mod authenticate;
mod chat;
mod claim;
mod crash_check;
mod error;
mod finish;
mod headers;
mod node;
mod place;
mod relay;
mod send;
mod service;
mod target;

pub use authenticate::{Identity, bearer_token};
pub use error::RequestError;
pub use node::Node;
pub use place::{ChosenTarget, PlaceRequest, Placement};

use std::sync::Arc;

use crate::edge::{BodyPlan, Caller, IncomingRequest, Responder};
use accept::CheckedRequest;
use finish::Ending;

/// Returns how the body of a request is read before the request is handled, or `None` if the
/// request is refused without it.
pub fn plan_body(node: &Node, incoming: &IncomingRequest) -> Option<BodyPlan> {
    // The handler finds the same reason and sends it.
    accept::plan_body(node, incoming).ok()
}

/// Handles one request: validates it, sends it to a target, relays the answer
/// and records the result.
pub fn handle(node: &Arc<Node>, mut incoming: IncomingRequest) {
    let _in_progress = node.begin_request();
    let caller = incoming.caller();
    let context = accept::new_context(node, &incoming);
    let prepared = prepare(node, &mut incoming, &context);
    let responder = incoming.into_responder();
    let ending = match prepared {
        Ok((request, identity)) => serve(node, &request, &identity, &caller, responder),
        Err(error) => {
            let error = authenticate::final_refusal(node, error);
            finish::send_error(node, &context, responder, error)
        }
    };
    finish::record(node, &context, &ending);
}

/// Runs the steps that read the request and check it, before any target is
/// involved.
fn prepare(
    node: &Node,
    incoming: &mut IncomingRequest,
    context: &accept::RequestContext,
) -> Result<(CheckedRequest, Identity), RequestError> {
    accept::check_accepting(node)?;
    let route = accept::route(incoming)?;
    let identity = authenticate::identify(node, incoming)?;
    let request = accept::read(node, incoming, context, &route, &identity)?;
    authenticate::check_model_access(&identity, &request)?;
    Ok((request, identity))
}

/// Admits the request, claims it if necessary, sends it to a target and relays
/// the answer.
fn serve(
    node: &Arc<Node>,
    request: &CheckedRequest,
    identity: &Identity,
    caller: &Arc<Caller>,
    responder: Responder,
) -> Ending {
    let admitted = match admit::admit(node, request, identity) {
        Ok(admitted) => admitted,
        Err(error) => return finish::send_error(node, &request.context, responder, error),
    };
    let ending = match claim::acquire(node, request, identity, caller) {
        Ok(claim::ClaimOutcome::NotNeeded) => {
            let result = send::send_with_retries(node, request, identity, caller);
            relay::deliver(node, request, caller, responder, result)
        }
        Ok(claim::ClaimOutcome::Held(held)) => {
            let result = send::send_with_retries(node, request, identity, &Arc::default());
            let result = held.settle(node, result);
            relay::deliver(node, request, caller, responder, result)
        }
        Ok(claim::ClaimOutcome::Stored(stored)) => relay::replay(request, responder, &stored),
        Err(error) => finish::send_error(node, &request.context, responder, error),
    };
    drop(admitted);
    ending
}
