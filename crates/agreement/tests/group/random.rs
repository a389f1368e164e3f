//! Randomised runs. They guard against lost acknowledged entries, diverging
//! logs, two leaders in a term, doubled applies and stale reads.

use bamboospur_agreement::{Input, MemberChange, MemberKind, Persist, Role};
use bamboospur_types::InstanceId;

use crate::oracle::FIRST_CHANGE;
use crate::sim::Sim;

struct Run {
    sim: Sim,
    size: usize,
    next_id: InstanceId,
    joining: Option<InstanceId>,
    losses: usize,
}

impl Run {
    fn pick(&mut self) -> InstanceId {
        let count = self.sim.nodes.len() as u64;
        let skip = usize::try_from(self.sim.random(count)).unwrap();
        *self.sim.nodes.keys().nth(skip).unwrap()
    }

    fn pick_leader(&mut self) -> InstanceId {
        let leader = self.sim.leader();
        leader.unwrap_or_else(|| self.pick())
    }

    fn act(&mut self) {
        match self.sim.random(100) {
            0..40 => {
                let id = self.pick_leader();
                self.sim.propose(id);
            }
            40..48 => {
                let id = self.pick();
                self.sim.propose(id);
            }
            48..60 => {
                let id = self.pick();
                self.sim.read(id);
            }
            60..66 => {
                let id = self.pick();
                self.sim.crash(id);
            }
            66..78 => self.restart(),
            78..83 => {
                let (from, to) = (self.pick(), self.pick());
                self.sim.cuts.insert((from, to));
            }
            83..86 => {
                let id = self.pick();
                self.sim.cut_both(id);
            }
            86..90 => self.sim.cuts.clear(),
            90..92 => self.lose_disk(),
            92..94 => {
                let id = self.pick_leader();
                self.sim.input(id, Input::TransferLeadership);
            }
            _ => {
                let id = self.pick();
                if self.sim.nodes[&id].applied > self.sim.nodes[&id].compacted {
                    self.sim.compact(id);
                }
            }
        }
    }

    fn restart(&mut self) {
        let id = self.pick();
        let node = &self.sim.nodes[&id];
        if node.replica.is_none() && !node.disk_lost {
            let percent = 70 + self.sim.random(70);
            self.sim.drift(id, percent);
            self.sim.start_node(id);
        }
    }

    /// Loses the disk of a voter while the others hold a quorum. Half of the
    /// times the instance comes back under its old id with an empty disk.
    fn lose_disk(&mut self) {
        let id = self.pick();
        let Some(leader) = self.sim.leader() else {
            return;
        };
        let status = self.sim.nodes[&leader].replica.as_ref().unwrap().status();
        let committed = &status.members;
        let settled = self.joining.is_none() && committed.voters().count() == self.size;
        let whole = committed.voters().all(|v| !self.sim.nodes[&v].disk_lost);
        let acknowledged = status.commit_index == status.last_index;
        if !settled || !whole || !acknowledged || !committed.is_voter(id) {
            return;
        }
        self.losses += 1;
        self.sim.crash(id);
        let back = self.sim.random(2) == 0;
        let node = self.sim.nodes.get_mut(&id).unwrap();
        node.disk_lost = true;
        node.disk = crate::disk::Disk::default();
        node.settings.disk += 5000;
        if back {
            self.sim.start_node(id);
        }
    }

    /// Does what an operator does: removes members without a disk, and brings
    /// the group back to its size through learners.
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
        } else if let Some(id) = self.joining {
            let kind = members.current.get(&id).map(|m| m.kind);
            let disk = self.sim.nodes[&id].settings.disk;
            match kind {
                None => MemberChange::AddLearner { id, disk },
                Some(MemberKind::Learner) => MemberChange::Promote { id },
                Some(MemberKind::Voter) => {
                    self.joining = None;
                    return;
                }
            }
        } else if members.voters().count() < self.size {
            let id = self.next_id;
            self.next_id += 1;
            self.joining = Some(id);
            self.sim.add(id, 1000 + id, &Persist::default());
            return;
        } else {
            return;
        };
        let ticket = FIRST_CHANGE + self.sim.now_us;
        self.sim
            .input(leader, Input::ChangeMembers { ticket, change });
    }

    fn settle(&mut self) {
        self.sim.cuts.clear();
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
            if self.is_settled() {
                return;
            }
        }
        panic!("the group does not recover");
    }

    /// Whether the group has its size again and all members the same state.
    fn is_settled(&mut self) -> bool {
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
            assert_eq!(node.state, self.sim.nodes[&leader].state, "instance {id}");
            self.sim.oracle.check_final(&node.state);
        }
    }
}

fn run(size: u64, seed: u64) -> (usize, usize, usize) {
    println!("size {size}, seed {seed}");
    let mut sim = Sim::new(size, seed);
    sim.loss_percent = sim.random(3) * 5;
    sim.sync_us = [200, 2_000, 40_000, 150_000][usize::try_from(sim.random(4)).unwrap()];
    for id in 1..=size {
        let percent = 70 + sim.random(70);
        sim.drift(id, percent);
    }
    let mut run = Run {
        sim,
        size: usize::try_from(size).unwrap(),
        next_id: size + 1,
        joining: None,
        losses: 0,
    };
    run.sim.run(2_000_000);
    for _ in 0..400 {
        let pause = run.sim.random(60_000);
        run.sim.run(pause);
        run.act();
        if run.sim.random(4) == 0 {
            run.repair();
        }
    }
    run.settle();
    run.check();
    let oracle = &run.sim.oracle;
    (oracle.acknowledged.len(), oracle.reads_done, run.losses)
}

fn run_seeds(size: u64, seeds: std::ops::Range<u64>) {
    let mut total = (0, 0, 0);
    for seed in seeds {
        let (acknowledged, reads, losses) = run(size, seed);
        total = (total.0 + acknowledged, total.1 + reads, total.2 + losses);
    }
    println!("acknowledged, reads, lost disks: {total:?}");
    assert!(
        total.0 > 500 && total.1 > 10 && total.2 > 5,
        "too little happened: {total:?}"
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
