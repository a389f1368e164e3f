//! Draining of targets and of this instance.
//!
//! A target is drained by the setting `fleet.drained.NAME`, which reaches every
//! router like any other settings change. The target stays drained until the
//! setting is removed.

use bamboospur_control::operator::{Action, DrainKind, DrainRequest, DrainResponse, ResponseMeta};
use bamboospur_control::{Command, Reply as Applied, Request, Response};
use bamboospur_settings::{BranchName, Change, Edit, Path, Value};
use bamboospur_types::ResultCode;
use signal_hook::consts::SIGTERM;
use tracing::info;

use super::Page;
use super::control::{Refusal, authorize, inspect, page, read_json, refusal, send_to_group};
use super::control_read::Names;
use crate::actors::Inspect;
use crate::edge::IncomingRequest;
use crate::request::Node;

/// Attempts to set the flag, each of which fails when another operator changes
/// the fleet's branch at the same time.
const MAX_ATTEMPTS: usize = 8;

pub(super) fn drain(node: &Node, incoming: &mut IncomingRequest) -> Result<Page, Refusal> {
    let authorized = authorize(node, incoming, Action::Drain)?;
    let DrainRequest { name } = read_json(incoming)?;
    let names = Names::collect(node);
    let kind = if names.known.targets.contains(&name) {
        drain_target(node, &name, &authorized.operator)?;
        DrainKind::Target
    } else if name == node.settings.name {
        drain_instance(&authorized.operator)?;
        DrainKind::Instance
    } else {
        return Err(unknown_name(&name, &names));
    };
    let head = ResponseMeta::ok();
    let answer = DrainResponse {
        head: head.clone(),
        name,
        kind,
    };
    Ok(page(&head, &answer))
}

fn unknown_name(name: &str, names: &Names) -> Refusal {
    let message = if names.instance(name).is_some() {
        format!("{name} is another instance: send the request to its own operators' address")
    } else {
        format!(
            "no target or instance {name:?} is known in this data centre: ask an instance of its data centre"
        )
    };
    refusal(ResultCode::NotFound, &message)
}

fn drain_target(node: &Node, name: &str, operator: &str) -> Result<(), Refusal> {
    let mut last_refusal = refusal(ResultCode::VersionConflict, "the fleet's branch is changed");
    for _ in 0..MAX_ATTEMPTS {
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
        let answer = send_to_group(node, Request::Command(Command::Change(change)));
        last_refusal = match answer {
            Ok(Response::Applied(Applied::Change(Ok(_)))) => return Ok(()),
            Ok(Response::Applied(Applied::Change(Err(rejection)))) => {
                let head = ResponseMeta::from(&rejection);
                let answer = page(&head, &head);
                if rejection.code != ResultCode::VersionConflict {
                    return Err(answer);
                }
                answer
            }
            Ok(_) => return Err(refusal(ResultCode::Internal, "an answer of another kind")),
            Err(error) => return Err(refusal(error.code(), &error.to_string())),
        };
    }
    Err(last_refusal)
}

/// Starts the same graceful shutdown as a SIGTERM from outside the process.
fn drain_instance(operator: &str) -> Result<(), Refusal> {
    info!(
        operator,
        "an operator requested to drain this instance; shutting down"
    );
    let raised = signal_hook::low_level::raise(SIGTERM);
    raised.map_err(|error| {
        let message = format!("the instance cannot be drained: {error}");
        refusal(ResultCode::Internal, &message)
    })
}
