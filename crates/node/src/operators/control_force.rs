//! On which routers a revision is in force.
//!
//! A router follows one member of the control group, so that each member knows
//! a part of the routers. The instance that is asked collects all parts. A
//! member without a link counts as cut off, and its routers move to others.

use std::collections::BTreeMap;
use std::sync::mpsc::sync_channel;
use std::time::{Duration, Instant};

use bamboospur_control::RouterReport;
use bamboospur_control::operator::{Action, InForceResponse, LaggingInstance, ResponseMeta};
use bamboospur_settings::Revision;
use bamboospur_types::{InstanceId, ResultCode, stable_id};

use super::Page;
use super::control::{Query, Refused, authorize, inspect, page, refused};
use super::control_read::{Names, elsewhere};
use crate::actors::{ControlMessage, GroupView, Inspect};
use crate::edge::Incoming;
use crate::mailbox::MainLoopMessage;
use crate::request::Node;

/// Longest wait for the other members.
const MEMBERS_WAIT: Duration = Duration::from_secs(1);
/// A router that was silent for longer is cut off; links beat more often.
const CUT_OFF_MS: u64 = 3_000;

type Reports = BTreeMap<InstanceId, RouterReport>;

pub(super) fn in_force(node: &Node, incoming: &Incoming, query: &Query) -> Result<Page, Refused> {
    authorize(node, incoming, Action::Read)?;
    let view = inspect(node, Inspect::Group)?;
    if view.member.is_none() {
        return Err(elsewhere(node));
    }
    let revision = query.number("revision")?.unwrap_or(view.revision);
    let reports = collect(node, &view);
    let answer = judge(revision, &reports, &Names::of(node));
    if answer.head.result == ResultCode::Ok && answer.live == 0 {
        return Err(refused(ResultCode::Internal, "no live router is known"));
    }
    Ok(page(&answer.head, &answer))
}

/// Collects what all reachable members know.
fn collect(node: &Node, view: &GroupView) -> Reports {
    let (sender, answers) = sync_channel(view.members.len().max(1));
    for member in &view.members {
        let question = Inspect::Routers {
            member: *member,
            reply: sender.clone(),
        };
        node.mailbox
            .send(MainLoopMessage::Control(ControlMessage::Inspect(question)));
    }
    drop(sender);
    let mut reports = Reports::new();
    for report in &view.routers {
        add(&mut reports, *report);
    }
    let until = Instant::now() + MEMBERS_WAIT;
    for _ in &view.members {
        let left = until.saturating_duration_since(Instant::now());
        let Ok(routers) = answers.recv_timeout(left) else {
            break;
        };
        for report in routers {
            add(&mut reports, report);
        }
    }
    add_listed(node, &mut reports);
    let own = RouterReport {
        id: stable_id(&node.settings.name),
        revision: view.revision,
        silent_ms: 0,
        connected: true,
    };
    reports.insert(own.id, own);
    reports
}

/// Keeps the newer report of one router.
fn add(reports: &mut Reports, report: RouterReport) {
    let known = reports.entry(report.id).or_insert(report);
    let newer = (report.connected, u64::MAX - report.silent_ms);
    if newer > (known.connected, u64::MAX - known.silent_ms) {
        *known = report;
    }
}

/// Adds listed members that were never heard.
fn add_listed(node: &Node, reports: &mut Reports) {
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

fn judge(revision: Revision, reports: &Reports, names: &Names) -> InForceResponse {
    let cut_off = |report: &RouterReport| !report.connected || report.silent_ms > CUT_OFF_MS;
    let live: Vec<_> = reports.values().filter(|report| !cut_off(report)).collect();
    let behind = live.iter().filter(|report| report.revision < revision);
    let behind = behind.count();
    let lagging = reports
        .values()
        .filter(|report| cut_off(report) || report.revision < revision);
    let lagging = lagging.map(|report| LaggingInstance {
        instance: names.name(report.id),
        revision: report.revision,
        silent_ms: report.silent_ms,
        cut_off: cut_off(report),
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
