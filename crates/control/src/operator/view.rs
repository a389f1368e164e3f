//! Answers to operators, built from the settings tree and the group's replies.

use std::collections::BTreeMap;

use bamboospur_settings::{BranchName, Path, Revision, Tree, Value};
use bamboospur_types::ResultCode;

use crate::command::Reply;
use crate::member::{MemberError, Response};
use crate::operator::answer::{ChangeResponse, ResponseMeta, TreeResponse};

/// Returns the answer to `GET /control/tree`. `path` names a value, is `teams` for
/// all teams, or is empty for the whole tree. `secrets` includes the hashes of keys.
#[must_use]
pub fn read_tree(tree: &Tree, path: &str, secrets: bool) -> TreeResponse {
    let several_branches = match path {
        "" => Some(whole_tree(tree, secrets)),
        "teams" => Some(all_teams(tree, secrets)),
        _ => None,
    };
    if let Some(value) = several_branches {
        return tree_response(tree, 0, ResponseMeta::ok(), Some(value));
    }
    let parsed: Path = match path.parse() {
        Ok(parsed) => parsed,
        Err(error) => {
            let head = ResponseMeta::failed(ResultCode::BadRequest, error.to_string());
            return tree_response(tree, 0, head, None);
        }
    };
    let version = tree.version(&parsed.branch);
    match tree.value_at(&parsed, secrets) {
        Ok(value) => tree_response(tree, version, ResponseMeta::ok(), Some(value)),
        Err(error) => {
            let head = ResponseMeta {
                path: Some(parsed.to_string()),
                ..ResponseMeta::failed(error.code(), error.to_string())
            };
            tree_response(tree, version, head, None)
        }
    }
}

fn tree_response(
    tree: &Tree,
    version: Revision,
    head: ResponseMeta,
    value: Option<Value>,
) -> TreeResponse {
    TreeResponse {
        head,
        version,
        revision: tree.revision(),
        value,
    }
}

fn whole_tree(tree: &Tree, secrets: bool) -> Value {
    let fleet = tree.value_at(&Path::from_branch(BranchName::Fleet), secrets);
    let mut branches = BTreeMap::from([("teams".to_owned(), all_teams(tree, secrets))]);
    branches.extend(fleet.ok().map(|value| ("fleet".to_owned(), value)));
    Value::Table(branches)
}

fn all_teams(tree: &Tree, secrets: bool) -> Value {
    let teams = tree.teams().filter_map(|(name, _)| {
        let path = Path::from_branch(BranchName::Team(name.to_owned()));
        let value = tree.value_at(&path, secrets).ok()?;
        Some((name.to_owned(), value))
    });
    Value::Table(teams.collect())
}

/// Converts the control group's answer to a change for the operator.
#[must_use]
pub fn change_response(change_id: &str, answer: &Result<Response, MemberError>) -> ChangeResponse {
    let (head, revision) = match answer {
        Ok(Response::Applied(Reply::Change(Ok(accepted)))) => {
            (ResponseMeta::ok(), accepted.revision)
        }
        Ok(Response::Applied(Reply::Change(Err(refusal)))) => (ResponseMeta::from(refusal), 0),
        Ok(_) => {
            let message = "the control group gave an answer of another kind: report this";
            (ResponseMeta::failed(ResultCode::Internal, message), 0)
        }
        Err(error) => (ResponseMeta::failed(error.code(), error.to_string()), 0),
    };
    ChangeResponse {
        head,
        change_id: change_id.to_owned(),
        revision,
    }
}
