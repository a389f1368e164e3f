//! State of the fleet that the group agrees on: evacuated data centres, and the software
//! versions at which streams can have begun.

use std::collections::BTreeSet;
use std::time::Instant;

use bamboospur_group::{DataCentre, FleetChange, FleetRevision, GroupInput, ServiceSoftware};
use bamboospur_platform::settings::ProcessSettings;
use tokio::sync::oneshot;
use tracing::{info, warn};

use super::Host;
use super::targets::ReportReply;
use crate::control::event::PutResult;
use crate::control::held_targets::HeldTargets;
use crate::control::operators::{PendingRequest, REQUEST_TIMEOUT, Requester};
use crate::link::{Frame, LinkId, Responder, Ticket};
use crate::stream_origins::MAX_STREAM_AGE;

/// Report periods of targets after which a process that has started has heard of all of them.
const REPORTS_UNTIL_ALL_KNOWN: u32 = 3;

/// What an instance keeps besides the state that the group agrees on.
#[derive(Debug)]
pub struct FleetTracking {
    /// Data centres that the settings name.
    data_centres: BTreeSet<DataCentre>,
    /// When this instance has heard of all software at which a stream can have begun that still
    /// goes on, whatever it knew at its start.
    knows_software_at: Instant,
    /// Targets whose software the group has not accepted yet.
    pub held_targets: HeldTargets<ReportReply>,
    /// Software that was proposed to the group since the last round.
    proposed_software: BTreeSet<ServiceSoftware>,
    /// Revision of the state that was last sent to routers.
    published: FleetRevision,
}

impl FleetTracking {
    pub fn new(settings: &ProcessSettings, now: Instant) -> Self {
        let time_to_hear = settings.report_period * REPORTS_UNTIL_ALL_KNOWN;
        Self {
            data_centres: settings.data_centres.clone(),
            knows_software_at: now + time_to_hear + MAX_STREAM_AGE,
            held_targets: HeldTargets::default(),
            proposed_software: BTreeSet::new(),
            published: 0,
        }
    }
}

impl Host {
    /// Handles an operator's order to evacuate a data centre or to take that back.
    pub(super) fn evacuate(
        &mut self,
        data_centre: DataCentre,
        evacuated: bool,
        result: oneshot::Sender<PutResult>,
        now: Instant,
    ) {
        let is_known = self.fleet.data_centres.contains(&data_centre)
            || self.registry.has_data_centre(&data_centre);
        if !is_known {
            // The operator may have given up waiting.
            let _sent = result.send(PutResult::NotFound);
            return;
        }
        let change = FleetChange::Evacuate {
            base: self.group.fleet().evacuation_revision(&data_centre),
            data_centre,
            evacuated,
        };
        let request = PendingRequest::Evacuate { result, change };
        self.submit_request(request, now + REQUEST_TIMEOUT);
    }

    /// Submits a change of the fleet if this instance is the leader, or forwards it.
    pub(super) fn submit_fleet_change(&mut self, ticket: Ticket, change: FleetChange) {
        let Some(leader) = self.group.leader() else {
            return;
        };
        if leader == self.id {
            self.pending_requests.record_sent(ticket, Responder::Own);
            return self.handle_group_input(GroupInput::ChangeFleet { ticket, change });
        }
        let request = Frame::ChangeFleet { ticket, change };
        if let Some(responder) = self.peers.send_request(leader, request) {
            self.pending_requests.record_sent(ticket, responder);
        } else {
            warn!(
                leader,
                "cannot forward a change of the fleet to the leader: no link to it, or its queue is \
                 full; the change is submitted again to a new leader or with the next round"
            );
        }
    }

    pub(super) fn handle_peer_fleet_change(
        &mut self,
        requester: Requester,
        change: FleetChange,
        now: Instant,
    ) {
        let request = PendingRequest::PeerPut(requester);
        let ticket = self.pending_requests.add_own(request, now);
        self.handle_group_input(GroupInput::ChangeFleet { ticket, change });
    }

    /// Marks a deployment that has no document yet as new, so that its software versions count
    /// as known from the start.
    pub(super) fn found_fleet(&mut self, now: Instant) {
        let fleet = self.group.fleet();
        if self.is_leader() && self.group.document().version == 0 && !fleet.has_all_software() {
            self.propose_fleet_change(FleetChange::Found, now);
        }
    }

    /// Proposes again what the group still lacks, and removes what has left.
    pub(super) fn update_software(&mut self, now: Instant) {
        self.fleet.proposed_software.clear();
        self.propose_software(now);
        self.retire_software(now);
    }

    /// Proposes the software of a target that is held, unless it was proposed since the last
    /// round.
    pub(super) fn propose_software_of(&mut self, held: ServiceSoftware, now: Instant) {
        if self.fleet.proposed_software.insert(held.clone()) {
            self.propose_fleet_change(FleetChange::AddSoftware([held].into()), now);
        }
    }

    /// Proposes the software versions that the group lacks.
    fn propose_software(&mut self, now: Instant) {
        let mut software = self.fleet.held_targets.software();
        let known = self.registry.services_with_software();
        software.extend(
            known
                .into_iter()
                .map(|(service, software)| ServiceSoftware {
                    service: service.to_owned(),
                    software: software.clone(),
                }),
        );
        let known = self.group.fleet().software();
        let added: BTreeSet<ServiceSoftware> = software.difference(known).cloned().collect();
        if !added.is_empty() {
            self.propose_fleet_change(FleetChange::AddSoftware(added.clone()), now);
            self.fleet.proposed_software = added;
        }
    }

    /// Removes the software versions at which no stream can have begun that still goes on.
    /// Only a leader that has run for long enough can tell.
    fn retire_software(&mut self, now: Instant) {
        if !self.is_leader() || now < self.fleet.knows_software_at {
            return;
        }
        let is_gone = |known: &&ServiceSoftware| {
            let service = &known.service;
            let lately = self
                .registry
                .software_versions(service, MAX_STREAM_AGE, now);
            !lately.contains(&known.software)
        };
        let known = self.group.fleet().software().iter();
        let removed: BTreeSet<ServiceSoftware> = known.filter(is_gone).cloned().collect();
        if !removed.is_empty() {
            info!(?removed, "software versions have left the fleet");
            self.propose_fleet_change(FleetChange::RemoveSoftware(removed), now);
        }
    }

    fn propose_fleet_change(&mut self, change: FleetChange, now: Instant) {
        let request = PendingRequest::OwnChange {
            change: change.clone(),
        };
        let ticket = self.pending_requests.add(request, now + REQUEST_TIMEOUT);
        self.submit_fleet_change(ticket, change);
    }

    /// Sends a changed state to all routers, and admits the targets that waited for it.
    pub(super) fn publish_fleet(&mut self, now: Instant) {
        let fleet = self.group.fleet();
        if fleet.revision() <= self.fleet.published {
            return;
        }
        self.fleet.published = fleet.revision();
        let evacuated: Vec<&DataCentre> = fleet.evacuated().collect();
        info!(
            revision = fleet.revision(),
            ?evacuated,
            software = ?fleet.software(),
            "state of the fleet in force"
        );
        let frame = Frame::Fleet(fleet.clone());
        let (released, replies) = self.fleet.held_targets.release(fleet);
        self.send_to_routers(&frame);
        self.merge_announcements(released, true, now);
        for reply in replies {
            self.answer_report(reply, now);
        }
    }

    /// Sends the state to a router that has linked or lacks it.
    pub(super) fn send_fleet(&self, link: LinkId) {
        self.send_to_link(link, &Frame::Fleet(self.group.fleet().clone()));
    }

    /// Whether this instance, if it leads, knows all software at which a stream can have begun
    /// that still goes on.
    pub(super) fn knows_software(&self, now: Instant) -> bool {
        self.group.fleet().has_all_software() || now >= self.fleet.knows_software_at
    }
}
