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
use super::control::{Refused, ask_group, authorize, body, inspect, page, refused};
use super::control_read::members_page;
use crate::actors::Inspect;
use crate::edge::Incoming;
use crate::request::Node;

/// Longest wait until a change is in force on the instance that answers, so
/// that the operator's next request to it sees the change.
const OWN_WAIT: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(5);

pub(super) fn change(node: &Node, path: &str, incoming: &mut Incoming) -> Result<Page, Refused> {
    // A stranger learns nothing about the form of a change.
    authorize(node, incoming, Action::Read)?;
    let mut change = match path {
        paths::CHANGE => made(body::<ChangeRequest>(incoming)?.into_change("")),
        paths::APPLY => made(body::<ApplyRequest>(incoming)?.into_change("")),
        _ => made(body::<RollbackRequest>(incoming)?.into_change("")),
    }?;
    let action = Action::Change(change.path.branch.clone());
    change.operator = authorize(node, incoming, action)?.operator;
    make(node, change)
}

fn made(change: Result<Change, RequestError>) -> Result<Change, Refused> {
    change.map_err(|error| refused(ResultCode::InvalidChange, &error.to_string()))
}

/// Makes a change.
pub(super) fn make(node: &Node, change: Change) -> Result<Page, Refused> {
    let change_id = change.id.clone();
    let answer = ask_group(node, Request::Command(Command::Change(change)));
    if let Ok(Response::Applied(Applied::Change(Ok(accepted)))) = &answer {
        wait_for(node, accepted.revision)?;
    }
    let answer = change_response(&change_id, &answer);
    Ok(page(&answer.head, &answer))
}

fn wait_for(node: &Node, revision: Revision) -> Result<(), Refused> {
    let until = Instant::now() + OWN_WAIT;
    while inspect(node, Inspect::Group)?.revision < revision && Instant::now() < until {
        thread::sleep(PAUSE);
    }
    Ok(())
}

pub(super) fn members(node: &Node, incoming: &mut Incoming) -> Result<Page, Refused> {
    authorize(node, incoming, Action::Members)?;
    let request: MembersRequest = body(incoming)?;
    let change = request.to_change();
    let change = change.map_err(|message| refused(ResultCode::InvalidChange, &message))?;
    match ask_group(node, Request::Members(change)) {
        Ok(_) => members_page(node),
        Err(error) => Err(refused(error.code(), &error.to_string())),
    }
}
