//! Draining of targets and of this instance.
//!
//! A target is drained by the setting `fleet.drained.NAME`, which reaches every
//! router like any change. It stays drained until the setting is removed.

use bamboospur_control::operator::{Action, DrainKind, DrainRequest, DrainResponse, ResponseMeta};
use bamboospur_control::{Command, Reply as Applied, Request, Response};
use bamboospur_settings::{BranchName, Change, Edit, Path, Value};
use bamboospur_types::ResultCode;
use signal_hook::consts::SIGTERM;
use tracing::info;

use super::Page;
use super::control::{Refused, ask_group, authorize, body, inspect, page, refused};
use super::control_read::Names;
use crate::actors::Inspect;
use crate::edge::Incoming;
use crate::request::Node;

/// Attempts while other operators change the fleet's branch.
const ATTEMPTS: usize = 8;

pub(super) fn drain(node: &Node, incoming: &mut Incoming) -> Result<Page, Refused> {
    let access = authorize(node, incoming, Action::Drain)?;
    let DrainRequest { name } = body(incoming)?;
    let names = Names::of(node);
    let kind = if names.known.targets.contains(&name) {
        drain_target(node, &name, &access.operator)?;
        DrainKind::Target
    } else if name == node.settings.name {
        drain_own(&access.operator)?;
        DrainKind::Instance
    } else {
        return Err(not_here(&name, &names));
    };
    let head = ResponseMeta::ok();
    let answer = DrainResponse {
        head: head.clone(),
        name,
        kind,
    };
    Ok(page(&head, &answer))
}

fn not_here(name: &str, names: &Names) -> Refused {
    let message = if names.instance(name).is_some() {
        format!("{name} is another instance: send the request to its own operators' address")
    } else {
        format!(
            "no target or instance {name:?} is known in this data centre: ask an instance of its data centre"
        )
    };
    refused(ResultCode::NotFound, &message)
}

fn drain_target(node: &Node, name: &str, operator: &str) -> Result<(), Refused> {
    let mut last = refused(ResultCode::VersionConflict, "the fleet's branch is changed");
    for _ in 0..ATTEMPTS {
        let branch = BranchName::Fleet;
        let base_version = inspect(node, |reply| Inspect::Version { branch, reply })?;
        let change = Change {
            id: format!("drain-{}", node.next_request_id()),
            operator: operator.to_owned(),
            path: Path {
                branch: BranchName::Fleet,
                names: vec!["drained".to_owned(), name.to_owned()],
            },
            base_version,
            edit: Edit::Set(Value::Flag(true)),
        };
        let answer = ask_group(node, Request::Command(Command::Change(change)));
        last = match answer {
            Ok(Response::Applied(Applied::Change(Ok(_)))) => return Ok(()),
            Ok(Response::Applied(Applied::Change(Err(refusal)))) => {
                let head = ResponseMeta::from(&refusal);
                let answer = page(&head, &head);
                if refusal.code != ResultCode::VersionConflict {
                    return Err(answer);
                }
                answer
            }
            Ok(_) => return Err(refused(ResultCode::Internal, "an answer of another kind")),
            Err(error) => return Err(refused(error.code(), &error.to_string())),
        };
    }
    Err(last)
}

/// Starts the same graceful end as a signal from outside.
fn drain_own(operator: &str) -> Result<(), Refused> {
    info!(operator, "an operator drains this instance");
    let raised = signal_hook::low_level::raise(SIGTERM);
    raised.map_err(|error| {
        let message = format!("the instance cannot be drained: {error}");
        refused(ResultCode::Internal, &message)
    })
}
