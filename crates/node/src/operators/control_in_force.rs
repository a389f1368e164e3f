//! Query on which routers a revision is in force.
//!
//! Each router follows one member of the control group, so each member knows
//! only some of the routers. The instance that serves the query collects the
//! reports of all members. A member without a link counts as cut off, and its
//! routers move to other members.

use std::collections::BTreeMap;
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use bamboospur_control::RouterReport;
use bamboospur_control::operator::{Action, InForceResponse, LaggingInstance, ResponseMeta};
use bamboospur_settings::Revision;
use bamboospur_types::{InstanceId, ResultCode, stable_id};

use super::Page;
use super::control::{Query, Refusal, authorize, inspect, page, refusal};
use super::control_read::{Names, no_replica};
use crate::actors::{ControlMessage, GroupView, Inspect};
use crate::edge::IncomingRequest;
use crate::mailbox::MainLoopMessage;
use crate::request::Node;

/// Longest wait for the reports of the other members.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(1);
/// Silence after which a router counts as cut off. Heartbeats on links are more
/// frequent.
const MAX_SILENCE_MS: u64 = 3_000;

type Reports = BTreeMap<InstanceId, RouterReport>;

pub(super) fn in_force(
    node: &Node,
    incoming: &IncomingRequest,
    query: &Query,
) -> Result<Page, Refusal> {
    authorize(node, incoming, Action::Read)?;
    let view = inspect(node, Inspect::Group)?;
    if view.member.is_none() {
        return Err(no_replica(node));
    }
    let revision = query.number("revision")?.unwrap_or(view.revision);
    let reports = collect_reports(node, &view);
    let answer = in_force_response(revision, &reports, &Names::collect(node));
    if answer.head.result == ResultCode::Ok && answer.live == 0 {
        return Err(refusal(ResultCode::Internal, "no live router is known"));
    }
    Ok(page(&answer.head, &answer))
}

/// Collects the router reports of all reachable members.
fn collect_reports(node: &Node, view: &GroupView) -> Reports {
    let (sender, answers) = sync_channel(view.members.len().max(1));
    for member in &view.members {
        let query = Inspect::Routers {
            member: *member,
            reply: sender.clone(),
        };
        node.mailbox
            .send(MainLoopMessage::Control(ControlMessage::Inspect(query)));
    }
    drop(sender);
    let mut reports = Reports::new();
    for report in &view.routers {
        add_report(&mut reports, *report);
    }
    let deadline = Instant::now() + MEMBERS_TIMEOUT;
    for _ in &view.members {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let Ok(routers) = answers.recv_timeout(remaining) else {
            break;
        };
        for report in routers {
            add_report(&mut reports, report);
        }
    }
    add_listed_members(node, &mut reports);
    let own = RouterReport {
        id: stable_id(&node.settings.name),
        revision: view.revision,
        silent_ms: 0,
        connected: true,
    };
    reports.insert(own.id, own);
    reports
}

/// Adds a report unless a newer one of the same router is known.
fn add_report(reports: &mut Reports, report: RouterReport) {
    let known = reports.entry(report.id).or_insert(report);
    let recency = (report.connected, u64::MAX - report.silent_ms);
    if recency > (known.connected, u64::MAX - known.silent_ms) {
        *known = report;
    }
}

/// Adds the listed members that no member has reported, as cut off.
fn add_listed_members(node: &Node, reports: &mut Reports) {
    for member in &node.settings.control {
        let id = member.id();
        reports.entry(id).or_insert(RouterReport {
            id,
            revision: 0,
            silent_ms: u64::MAX,
            connected: false,
        });
    }
}

fn in_force_response(revision: Revision, reports: &Reports, names: &Names) -> InForceResponse {
    let is_cut_off = |report: &RouterReport| !report.connected || report.silent_ms > MAX_SILENCE_MS;
    let live: Vec<_> = reports
        .values()
        .filter(|report| !is_cut_off(report))
        .collect();
    let behind_reports = live.iter().filter(|report| report.revision < revision);
    let behind = behind_reports.count();
    let lagging = reports
        .values()
        .filter(|report| is_cut_off(report) || report.revision < revision);
    let lagging = lagging.map(|report| LaggingInstance {
        instance: names.name(report.id),
        revision: report.revision,
        silent_ms: report.silent_ms,
        cut_off: is_cut_off(report),
    });
    let head = if behind == 0 {
        ResponseMeta::ok()
    } else {
        let message = format!("revision {revision} is not in force on {behind} routers yet");
        ResponseMeta::failed(ResultCode::NotInForceYet, message)
    };
    InForceResponse {
        head,
        revision,
        live: live.len() as u64,
        in_force: (live.len() - behind) as u64,
        lagging: lagging.collect(),
    }
}
