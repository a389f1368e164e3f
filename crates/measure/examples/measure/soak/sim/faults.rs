//! Injects failures at random times, one by one and in quick succession.

use bamboospur_types::mix64;

use super::fault_kind::FaultKind;
use super::message::Node;
use super::repair::Repair;
use super::world::{DATA_CENTRES, Event, ROUTERS, TARGETS, World};

/// Random numbers of the failures. Each failure has its own generator, so that omitting
/// one failure does not change the others.
pub struct FaultPlan {
    seed: u64,
}

struct FaultRng(u64);

impl FaultRng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.0) % limit.max(1)
    }

    fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).unwrap_or(0)
    }
}

impl FaultPlan {
    pub const fn new(seed: u64) -> Self {
        Self { seed }
    }

    fn rng(&self, number: u64) -> FaultRng {
        FaultRng(mix64(self.seed ^ mix64(number + 1)))
    }
}

impl World {
    /// Injects one failure, unless the plan omits it, and schedules the next.
    pub fn inject_next_fault(&mut self, number: u64) {
        if self.is_quiet() {
            return;
        }
        let mut rng = self.faults.rng(number);
        // After one failure in four the next one follows after 1 ms.
        let gap_us = if rng.below(4) == 0 {
            1_000
        } else {
            200_000 + rng.below(5_000_000)
        };
        self.schedule_after(gap_us, Event::InjectFault(number + 1));
        let kind = FaultKind::ALL[rng.index(FaultKind::ALL.len())];
        if self.plan.disabled_kinds.contains(&kind) || self.plan.omitted_faults.contains(&number) {
            return;
        }
        if let Some(what) = self.inject(kind, number, &mut rng) {
            self.record_fault(kind, number, &what);
        }
    }

    fn record_fault(&mut self, kind: FaultKind, number: u64, what: &str) {
        *self.oracle.tally.faults.entry(kind.name()).or_default() += 1;
        self.add_trace(format!("FAILURE {number} {}: {what}", kind.name()));
        let line = format!("{} ms: {} {what}", self.now_ms(), kind.name());
        self.injected_faults.push((number, line));
    }

    fn inject(&mut self, kind: FaultKind, number: u64, rng: &mut FaultRng) -> Option<String> {
        let target = rng.index(TARGETS);
        let router = rng.index(ROUTERS);
        let length_us = 200_000 + rng.below(8_000_000);
        match kind {
            FaultKind::TargetCrash
            | FaultKind::TargetFlap
            | FaultKind::TargetLeave
            | FaultKind::TargetSlow => Some(self.break_target(kind, target, length_us, rng)),
            FaultKind::RouterCrash => {
                self.crash_router(router);
                self.schedule_after(length_us, Event::Start(Node::Router(router)));
                Some(format!("router {router} for {length_us} us"))
            }
            FaultKind::RouterStop => {
                self.stop_router(router);
                Some(format!("router {router}"))
            }
            FaultKind::RouterIsolated => {
                Some(self.isolate(kind, number, Node::Router(router), length_us, rng))
            }
            FaultKind::MemberIsolated => {
                let member = self.random_running_member(rng)?;
                Some(self.isolate(kind, number, Node::Member(member), length_us * 2, rng))
            }
            FaultKind::MemberCrash => {
                let member = self.random_running_member(rng)?;
                self.crash_member(member);
                self.schedule_after(length_us, Event::Start(Node::Member(member)));
                Some(format!("member {member} for {length_us} us"))
            }
            FaultKind::DiskLost => {
                let member = self.random_running_member(rng)?;
                self.lose_disk(member)
            }
            FaultKind::SecondLoss => {
                self.is_second_loss_due = true;
                Some("armed".to_owned())
            }
            FaultKind::SilentLink => self.silence_link(number, target, router, length_us, rng),
            FaultKind::ClockDrift => self.shift_clock(target, router, rng),
            FaultKind::OneWayCut | FaultKind::TwoWayCut => {
                self.cut_data_centre(kind, number, length_us, rng)
            }
            FaultKind::Loss | FaultKind::Duplication | FaultKind::Reordering => {
                let percent = 1 + rng.below(15);
                match kind {
                    FaultKind::Loss => self.network.loss_percent = percent,
                    FaultKind::Duplication => self.network.duplicate_percent = percent,
                    _ => self.network.reorder_percent = percent,
                }
                self.schedule_after(length_us, Event::EndFault(kind, number));
                Some(format!("{percent}% for {length_us} us"))
            }
        }
    }

    fn break_target(
        &mut self,
        kind: FaultKind,
        target: usize,
        length_us: u64,
        rng: &mut FaultRng,
    ) -> String {
        match kind {
            FaultKind::TargetLeave => {
                self.targets[target].leaving = true;
                self.oracle.tally.leaves += 1;
                self.schedule_after(8_000_000 + length_us, Event::EndFault(kind, target as u64));
                format!("engine {target}")
            }
            FaultKind::TargetSlow => {
                self.targets[target].slow = true;
                self.schedule_after(length_us, Event::EndFault(kind, target as u64));
                format!("engine {target} for {length_us} us")
            }
            _ => {
                self.crash_target(target);
                let flaps = if kind == FaultKind::TargetFlap {
                    2 + rng.below(3)
                } else {
                    0
                };
                let step_us = length_us / (flaps + 1);
                self.schedule_after(100_000 + step_us, Event::Start(Node::Target(target)));
                for flap in 1..=flaps {
                    let event = Event::EndFault(FaultKind::TargetFlap, target as u64);
                    self.schedule_after(flap * (300_000 + step_us), event);
                }
                format!("engine {target}, {flaps} flaps, {step_us} us each")
            }
        }
    }

    fn random_running_member(&self, rng: &mut FaultRng) -> Option<u64> {
        let up: Vec<u64> = self
            .members
            .values()
            .filter(|m| m.core.is_some())
            .map(|m| m.id)
            .collect();
        (!up.is_empty()).then(|| up[rng.index(up.len())])
    }

    /// Isolates a process: `true` stops what it sends, `false` what it receives.
    fn isolate(
        &mut self,
        kind: FaultKind,
        number: u64,
        node: Node,
        length_us: u64,
        rng: &mut FaultRng,
    ) -> String {
        let ways: &[bool] = [&[true][..], &[false], &[true, false]][rng.index(3)];
        for way in ways {
            *self.network.isolated.entry((node, *way)).or_default() += 1;
        }
        self.active_isolations
            .insert(number, ways.iter().map(|way| (node, *way)).collect());
        self.record_cut(node);
        self.schedule_after(length_us, Event::EndFault(kind, number));
        format!("{node:?} {ways:?} for {length_us} us")
    }

    fn silence_link(
        &mut self,
        number: u64,
        target: usize,
        router: usize,
        length_us: u64,
        rng: &mut FaultRng,
    ) -> Option<String> {
        let from = Node::Router(router);
        let to = match rng.below(3) {
            0 => Node::Target(target),
            1 => Node::Router(rng.index(ROUTERS)),
            _ => Node::Member(self.random_running_member(rng)?),
        };
        if from == to {
            return None;
        }
        self.network.silent.extend([(from, to), (to, from)]);
        self.record_cut(from);
        self.record_cut(to);
        self.silent_links.insert(number, (from, to));
        self.schedule_after(length_us, Event::EndFault(FaultKind::SilentLink, number));
        Some(format!("{from:?} and {to:?} for {length_us} us"))
    }

    /// Records the time of a cut for all routers of the process's data centre.
    fn record_cut(&mut self, node: Node) {
        let now_us = self.now_us;
        let centre = self.data_centre(node);
        for router in (0..ROUTERS).filter(|r| r % DATA_CENTRES == centre) {
            self.last_cut_us[router] = now_us;
        }
    }

    /// Cuts one data centre off from another, in one or both directions.
    fn cut_data_centre(
        &mut self,
        kind: FaultKind,
        number: u64,
        length_us: u64,
        rng: &mut FaultRng,
    ) -> Option<String> {
        let (from, to) = (rng.index(DATA_CENTRES), rng.index(DATA_CENTRES));
        if from == to {
            return None;
        }
        let pairs = if kind == FaultKind::TwoWayCut {
            vec![(from, to), (to, from)]
        } else {
            vec![(from, to)]
        };
        for pair in &pairs {
            *self.network.cuts.entry(*pair).or_default() += 1;
        }
        self.active_cuts.insert(number, pairs);
        self.schedule_after(length_us, Event::EndFault(kind, number));
        Some(format!("data centre {from} to {to} for {length_us} us"))
    }

    /// Sets the wall clock of a process off by at most 70 ms, so that any two clocks
    /// differ by less than the bound in the settings.
    fn shift_clock(&mut self, target: usize, router: usize, rng: &mut FaultRng) -> Option<String> {
        let node = match rng.below(3) {
            0 => Node::Target(target),
            1 => Node::Router(router),
            _ => Node::Member(self.random_running_member(rng)?),
        };
        let offset_ms = i64::try_from(rng.below(140)).unwrap_or(0) - 70;
        self.clock_offsets_ms.insert(node, offset_ms);
        Some(format!("{node:?} is {offset_ms} ms off"))
    }

    /// Loses the disk of a member for good and starts a new member in its place.
    fn lose_disk(&mut self, id: u64) -> Option<String> {
        if self.repair.is_some() {
            return None;
        }
        let member = self.members.get_mut(&id)?;
        member.core = None;
        member.is_lost = true;
        let data_centre = member.data_centre;
        let new = self.next_member;
        self.next_member += 1;
        self.add_member(new, data_centre);
        self.start_member(new);
        self.repair = Some(Repair { old: id, new });
        Some(format!("member {id}, replaced by {new}"))
    }

    /// Loses the leader's disk right after a repair, if a second loss is due.
    pub fn second_loss(&mut self) {
        if !std::mem::take(&mut self.is_second_loss_due) || self.is_quiet() {
            return;
        }
        let lost = self.leader().and_then(|leader| self.lose_disk(leader));
        if let Some(what) = lost {
            self.record_fault(FaultKind::SecondLoss, u64::MAX, &what);
        }
    }

    pub fn end_fault(&mut self, kind: FaultKind, number: u64) {
        let index = usize::try_from(number).unwrap_or(0);
        match kind {
            FaultKind::TargetFlap => {
                self.crash_target(index);
                self.schedule_after(250_000, Event::Start(Node::Target(index)));
            }
            FaultKind::TargetLeave => {
                self.crash_target(index);
                self.schedule_after(1_000_000, Event::Start(Node::Target(index)));
            }
            FaultKind::TargetSlow => self.targets[index].slow = false,
            FaultKind::RouterIsolated | FaultKind::MemberIsolated => {
                for key in self.active_isolations.remove(&number).unwrap_or_default() {
                    self.record_cut(key.0);
                    let count = self.network.isolated.entry(key).or_default();
                    *count = count.saturating_sub(1);
                }
                self.network.isolated.retain(|_, count| *count > 0);
            }
            FaultKind::OneWayCut | FaultKind::TwoWayCut => {
                for pair in self.active_cuts.remove(&number).unwrap_or_default() {
                    let count = self.network.cuts.entry(pair).or_default();
                    *count = count.saturating_sub(1);
                }
                self.network.cuts.retain(|_, count| *count > 0);
            }
            FaultKind::SilentLink => {
                if let Some((from, to)) = self.silent_links.remove(&number) {
                    self.record_cut(from);
                    self.record_cut(to);
                    self.network.silent.remove(&(from, to));
                    self.network.silent.remove(&(to, from));
                }
            }
            FaultKind::Loss => self.network.loss_percent = 0,
            FaultKind::Duplication => self.network.duplicate_percent = 0,
            FaultKind::Reordering => self.network.reorder_percent = 0,
            _ => {}
        }
    }

    pub fn check_final_state(&mut self) {
        self.check_callers();
        self.check_control();
        self.check_counts();
    }
}
