//! Changes of the settings and of the members of the control group.

use std::thread;
use std::time::{Duration, Instant};

use bamboospur_control::operator::{
    Action, ApplyRequest, ChangeRequest, MembersRequest, RequestError, RollbackRequest,
    change_response, paths,
};
use bamboospur_control::{Command, Reply as Applied, Request, Response};
use bamboospur_settings::{Change, Revision};
use bamboospur_types::ResultCode;

use super::Page;
use super::control::{Refusal, authorize, inspect, page, read_json, refusal, send_to_group};
use super::control_read::members_page;
use crate::actors::Inspect;
use crate::edge::IncomingRequest;
use crate::request::Node;

/// Longest wait until a change is in force on this instance, so that the
/// operator's next request to this instance sees the change.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(super) fn change(
    node: &Node,
    path: &str,
    incoming: &mut IncomingRequest,
) -> Result<Page, Refusal> {
    // Checked before the body is parsed, so that parse errors reveal nothing to
    // clients without a valid token.
    authorize(node, incoming, Action::Read)?;
    let mut change = match path {
        paths::CHANGE => refuse_invalid(read_json::<ChangeRequest>(incoming)?.into_change("")),
        paths::APPLY => refuse_invalid(read_json::<ApplyRequest>(incoming)?.into_change("")),
        _ => refuse_invalid(read_json::<RollbackRequest>(incoming)?.into_change("")),
    }?;
    let action = Action::Change(change.path.branch.clone());
    change.operator = authorize(node, incoming, action)?.operator;
    submit_change(node, change)
}

fn refuse_invalid(change: Result<Change, RequestError>) -> Result<Change, Refusal> {
    change.map_err(|error| refusal(ResultCode::InvalidChange, &error.to_string()))
}

/// Sends a change to the control group and waits until it is in force here.
pub(super) fn submit_change(node: &Node, change: Change) -> Result<Page, Refusal> {
    let change_id = change.id.clone();
    let answer = send_to_group(node, Request::Command(Command::Change(change)));
    if let Ok(Response::Applied(Applied::Change(Ok(accepted)))) = &answer {
        wait_until_in_force(node, accepted.revision)?;
    }
    let answer = change_response(&change_id, &answer);
    Ok(page(&answer.head, &answer))
}

fn wait_until_in_force(node: &Node, revision: Revision) -> Result<(), Refusal> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while inspect(node, Inspect::Group)?.revision < revision && Instant::now() < deadline {
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

pub(super) fn members(node: &Node, incoming: &mut IncomingRequest) -> Result<Page, Refusal> {
    authorize(node, incoming, Action::Members)?;
    let request: MembersRequest = read_json(incoming)?;
    let change = request.to_change();
    let change = change.map_err(|message| refusal(ResultCode::InvalidChange, &message))?;
    match send_to_group(node, Request::Members(change)) {
        Ok(_) => members_page(node),
        Err(error) => Err(refusal(error.code(), &error.to_string())),
    }
}
