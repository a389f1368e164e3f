//! The path of one request, one module per step.

mod accept;
mod admit;
mod authenticate;
mod chat;
mod claim;
mod headers;
mod node;
mod place;
mod refused;
mod relay;
mod send;
mod service;
mod settle;
mod target;

pub use authenticate::{Identity, bearer};
pub use node::Node;
pub use place::{ChosenTarget, PlaceRequest, Placement};
pub use refused::Refused;

use std::sync::Arc;

use crate::edge::{Caller, Incoming, Responder};
use accept::Ask;
use settle::Ending;

/// Serves one request of a caller from its head to its last byte.
pub fn handle(node: &Arc<Node>, mut incoming: Incoming) {
    let _progress = node.begin();
    let caller = incoming.caller();
    let head = accept::read_head(node);
    let prepared = prepare(node, &mut incoming, &head);
    let responder = incoming.into_responder();
    let ending = match prepared {
        Ok((ask, identity)) => serve(node, &ask, &identity, &caller, responder),
        Err(refused) => settle::refuse(node, &head, responder, refused),
    };
    settle::record(node, &head, &ending);
}

/// Steps that need no target.
fn prepare(
    node: &Node,
    incoming: &mut Incoming,
    head: &accept::Head,
) -> Result<(Ask, Identity), Refused> {
    accept::check_open(node)?;
    let route = accept::route(incoming)?;
    let identity = authenticate::identify(node, incoming)?;
    let ask = accept::read(node, incoming, head, &route, &identity)?;
    authenticate::allow(&identity, &ask)?;
    Ok((ask, identity))
}

/// Steps that lead to a target and back.
fn serve(
    node: &Arc<Node>,
    ask: &Ask,
    identity: &Identity,
    caller: &Arc<Caller>,
    responder: Responder,
) -> Ending {
    let admitted = match admit::admit(node, ask, identity) {
        Ok(admitted) => admitted,
        Err(refused) => return settle::refuse(node, &ask.head, responder, refused),
    };
    let ending = match claim::take(node, ask, identity, caller) {
        Ok(claim::Taken::NotNeeded) => {
            let delivery = send::run(node, ask, identity, caller);
            relay::deliver(node, ask, caller, responder, delivery)
        }
        Ok(claim::Taken::Held(held)) => {
            let delivery = send::run(node, ask, identity, &Arc::default());
            let delivery = held.settle(node, delivery);
            relay::deliver(node, ask, caller, responder, delivery)
        }
        Ok(claim::Taken::Stored(stored)) => relay::replay(ask, responder, &stored),
        Err(refused) => settle::refuse(node, &ask.head, responder, refused),
    };
    drop(admitted);
    ending
}
