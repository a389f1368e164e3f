//! State and members of the control group, and draining of targets and instances.

use std::fmt::Write;

use bamboospur_control::operator::{
    DrainRequest, DrainResponse, MemberAction, MembersRequest, MembersResponse, StatusResponse,
    paths,
};
use serde_json::json;

use crate::client::Client;
use crate::error::CtlError;
use crate::output::Report;

/// Shows the state of the instance that answers.
pub fn status(client: &Client) -> Result<Report, CtlError> {
    let answer: StatusResponse = client.get(paths::STATUS, &[])?.parse_success()?;
    let leader = answer.leader.as_deref().unwrap_or("none");
    let mut text = format!("instance {} is {}\n", answer.instance, answer.role);
    let _ = writeln!(text, "term {}, leader {leader}", answer.term);
    if let Some(ms) = answer.leaderless_ms {
        let _ = writeln!(text, "no leader for {ms} ms: no changes and no claims");
    }
    let _ = writeln!(text, "revision in force {}", answer.revision_in_force);
    let _ = writeln!(text, "commit index {}", answer.commit_index);
    let _ = writeln!(text, "claims {}", answer.claims);
    if answer.violations > 0 {
        let _ = writeln!(text, "violated invariants {}", answer.violations);
        for message in &answer.violation_messages {
            let _ = writeln!(text, "  {message}");
        }
    }
    Ok(Report::success(text, json!(answer)))
}

pub fn members(client: &Client) -> Result<Report, CtlError> {
    let answer: MembersResponse = client.get(paths::MEMBERS, &[])?.parse_success()?;
    Ok(Report::success(format_members(&answer), json!(answer)))
}

/// Adds, promotes or removes a member. `disk` is the identity of the data folder of an
/// instance to add.
pub fn change_member(
    client: &Client,
    action: MemberAction,
    instance: &str,
    disk: Option<&str>,
) -> Result<Report, CtlError> {
    let body = MembersRequest {
        action,
        instance: instance.to_owned(),
        disk: disk.map(str::to_owned),
    };
    let answer: MembersResponse = client.post(paths::MEMBERS, &body)?.parse_success()?;
    Ok(Report::success(format_members(&answer), json!(answer)))
}

fn format_members(answer: &MembersResponse) -> String {
    let mut text = String::new();
    for member in &answer.members {
        let leader = if member.leader { ", leader" } else { "" };
        let _ = write!(text, "{} {}{leader}", member.instance, member.kind);
        if let Some(index) = member.acknowledged_index {
            let _ = write!(text, ", acknowledged index {index}");
        }
        if let Some(ms) = member.silent_ms {
            let _ = write!(text, ", last heard {ms} ms ago");
        }
        text.push('\n');
    }
    text
}

/// Drains the target or the instance with this name.
pub fn drain(client: &Client, name: &str) -> Result<Report, CtlError> {
    let body = DrainRequest {
        name: name.to_owned(),
    };
    let answer: DrainResponse = client.post(paths::DRAIN, &body)?.parse_success()?;
    let text = format!("{} {} drains", answer.kind, answer.name);
    Ok(Report::success(text, json!(answer)))
}
