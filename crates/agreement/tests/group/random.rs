//! Runs with random faults. They check for lost acknowledged entries, diverging
//! logs, two leaders in a term, entries applied twice and stale reads.

use bamboospur_agreement::{Input, MemberChange, MemberKind, Persist, Role};
use bamboospur_types::InstanceId;

use crate::oracle::FIRST_CHANGE_TICKET;
use crate::sim::Sim;

struct RandomRun {
    sim: Sim,
    /// Number of voters at the start, which repairs restore.
    size: usize,
    next_id: InstanceId,
    /// Instance that replaces a removed member and is not a voter yet.
    joining_id: Option<InstanceId>,
    lost_disks: usize,
}

impl RandomRun {
    fn random_node(&mut self) -> InstanceId {
        let count = self.sim.nodes.len() as u64;
        let skip = usize::try_from(self.sim.random(count)).unwrap();
        *self.sim.nodes.keys().nth(skip).unwrap()
    }

    fn leader_or_random_node(&mut self) -> InstanceId {
        let leader = self.sim.leader();
        leader.unwrap_or_else(|| self.random_node())
    }

    fn perform_random_action(&mut self) {
        match self.sim.random(100) {
            0..40 => {
                let id = self.leader_or_random_node();
                self.sim.propose(id);
            }
            40..48 => {
                let id = self.random_node();
                self.sim.propose(id);
            }
            48..60 => {
                let id = self.random_node();
                self.sim.read(id);
            }
            60..66 => {
                let id = self.random_node();
                self.sim.crash(id);
            }
            66..78 => self.restart(),
            78..83 => {
                let (from, to) = (self.random_node(), self.random_node());
                self.sim.blocked_links.insert((from, to));
            }
            83..86 => {
                let id = self.random_node();
                self.sim.isolate(id);
            }
            86..90 => self.sim.blocked_links.clear(),
            90..92 => self.lose_disk(),
            92..94 => {
                let id = self.leader_or_random_node();
                self.sim.input(id, Input::TransferLeadership);
            }
            _ => {
                let id = self.random_node();
                if self.sim.nodes[&id].applied > self.sim.nodes[&id].compacted {
                    self.sim.compact(id);
                }
            }
        }
    }

    fn restart(&mut self) {
        let id = self.random_node();
        let node = &self.sim.nodes[&id];
        if node.replica.is_none() && !node.disk_lost {
            let percent = 70 + self.sim.random(70);
            self.sim.set_clock_percent(id, percent);
            self.sim.start_node(id);
        }
    }

    /// Loses the disk of a random voter, if all voters have their disks and all
    /// entries are committed, so that the others hold a quorum. In half of the cases
    /// the instance restarts under its old id with an empty disk.
    fn lose_disk(&mut self) {
        let id = self.random_node();
        let Some(leader) = self.sim.leader() else {
            return;
        };
        let status = self.sim.nodes[&leader].replica.as_ref().unwrap().status();
        let committed = &status.members;
        let settled = self.joining_id.is_none() && committed.voters().count() == self.size;
        let whole = committed.voters().all(|v| !self.sim.nodes[&v].disk_lost);
        let acknowledged = status.commit_index == status.last_index;
        if !settled || !whole || !acknowledged || !committed.is_voter(id) {
            return;
        }
        self.lost_disks += 1;
        self.sim.crash(id);
        let restarts = self.sim.random(2) == 0;
        let node = self.sim.nodes.get_mut(&id).unwrap();
        node.disk_lost = true;
        node.disk = crate::disk::Disk::default();
        node.settings.disk += 5000;
        if restarts {
            self.sim.start_node(id);
        }
    }

    /// Acts as an operator: removes members that lost their disk, and adds learners
    /// and promotes them until the group has its size again.
    fn repair(&mut self) {
        let Some(leader) = self.sim.leader() else {
            return;
        };
        let status = self.sim.nodes[&leader].replica.as_ref().unwrap().status();
        let members = status.members;
        let lost = members
            .current
            .keys()
            .find(|id| self.sim.nodes[id].disk_lost);
        let change = if let Some(&id) = lost {
            MemberChange::Remove { id }
        } else if let Some(id) = self.joining_id {
            let kind = members.current.get(&id).map(|m| m.kind);
            let disk = self.sim.nodes[&id].settings.disk;
            match kind {
                None => MemberChange::AddLearner { id, disk },
                Some(MemberKind::Learner) => MemberChange::Promote { id },
                Some(MemberKind::Voter) => {
                    self.joining_id = None;
                    return;
                }
            }
        } else if members.voters().count() < self.size {
            let id = self.next_id;
            self.next_id += 1;
            self.joining_id = Some(id);
            self.sim.add(id, 1000 + id, &Persist::default());
            return;
        } else {
            return;
        };
        let ticket = FIRST_CHANGE_TICKET + self.sim.now_us;
        self.sim
            .input(leader, Input::ChangeMembers { ticket, change });
    }

    fn recover(&mut self) {
        self.sim.blocked_links.clear();
        self.sim.loss_percent = 0;
        let ids: Vec<_> = self.sim.nodes.keys().copied().collect();
        for id in ids {
            if self.sim.nodes[&id].replica.is_none() && !self.sim.nodes[&id].disk_lost {
                self.sim.start_node(id);
            }
        }
        for _ in 0..600 {
            self.sim.run(50_000);
            self.repair();
            if self.has_recovered() {
                return;
            }
        }
        panic!("the group did not recover within 30 s of virtual time");
    }

    /// Whether the group has its size again and all voters have the same state.
    fn has_recovered(&mut self) -> bool {
        let Some(leader) = self.sim.leader() else {
            return false;
        };
        let status = self.sim.nodes[&leader].replica.as_ref().unwrap().status();
        let whole = status.members.voters().count() == self.size;
        let expected = &self.sim.nodes[&leader].state;
        let same = |id: InstanceId| self.sim.nodes[&id].state == *expected;
        whole && status.commit_index == status.last_index && status.members.voters().all(same)
    }

    fn check(&self) {
        let leader = self.sim.leader().unwrap();
        let status = self.sim.nodes[&leader].replica.as_ref().unwrap().status();
        assert_eq!(status.role, Role::Leader);
        assert_eq!(status.members.voters().count(), self.size);
        for id in status.members.voters() {
            let node = &self.sim.nodes[&id];
            assert_eq!(
                node.state, self.sim.nodes[&leader].state,
                "the state of instance {id} differs from the leader's"
            );
            self.sim.oracle.check_final(&node.state);
        }
    }
}

fn run(size: u64, seed: u64) -> (usize, usize, usize) {
    println!("size {size}, seed {seed}");
    let mut sim = Sim::new(size, seed);
    sim.loss_percent = sim.random(3) * 5;
    sim.sync_delay_us = [200, 2_000, 40_000, 150_000][usize::try_from(sim.random(4)).unwrap()];
    for id in 1..=size {
        let percent = 70 + sim.random(70);
        sim.set_clock_percent(id, percent);
    }
    let mut run = RandomRun {
        sim,
        size: usize::try_from(size).unwrap(),
        next_id: size + 1,
        joining_id: None,
        lost_disks: 0,
    };
    run.sim.run(2_000_000);
    for _ in 0..400 {
        let pause = run.sim.random(60_000);
        run.sim.run(pause);
        run.perform_random_action();
        if run.sim.random(4) == 0 {
            run.repair();
        }
    }
    run.recover();
    run.check();
    let oracle = &run.sim.oracle;
    (oracle.acknowledged.len(), oracle.reads_done, run.lost_disks)
}

fn run_seeds(size: u64, seeds: std::ops::Range<u64>) {
    let mut total = (0, 0, 0);
    for seed in seeds {
        let (acknowledged, reads, losses) = run(size, seed);
        total = (total.0 + acknowledged, total.1 + reads, total.2 + losses);
    }
    println!("acknowledged proposals, completed reads, lost disks: {total:?}");
    assert!(
        total.0 > 500 && total.1 > 10 && total.2 > 5,
        "the runs covered too little: {total:?}"
    );
}

#[test]
fn random_faults_with_three_members() {
    run_seeds(3, 0..60);
}

#[test]
fn random_faults_with_five_members() {
    run_seeds(5, 1000..1040);
}
