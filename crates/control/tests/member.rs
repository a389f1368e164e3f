//! Tests the outputs of a single member: answers to watchers, settings diffs for
//! followers, orders to engines, and a clock that never goes back.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboospur_agreement::{Members, PersistedState, ReplicaSettings};
use bamboospur_claims::{Attempt, ClaimResponse, SettleOutcome, StoredAnswer};
use bamboospur_control::{
    ClaimCommand, Command, Member, MemberError, MemberInput, MemberOutput, MemberSettings, Reply,
    Request, Response, claim_key,
};
use bamboospur_orders::{Action, Order, OrderResult, Report};
use bamboospur_settings::{ApplyOutcome, Change, Edit, Follower, Value};

type Replies = Vec<(u64, Result<Response, MemberError>)>;

/// Host of one member, whose writes are durable at once.
struct Host {
    member: Member,
    start: Instant,
    now_ms: u64,
    clock_offset_ms: u64,
    replies: Replies,
    orders: Vec<Order>,
    follower: Follower,
}

impl Host {
    fn new(voters: &[(u64, u64)]) -> Self {
        let start = Instant::now();
        let settings = MemberSettings {
            replica: ReplicaSettings {
                id: 1,
                disk: 11,
                ..ReplicaSettings::default()
            },
            process: 5,
            plan_interval: Duration::from_millis(100),
            ..MemberSettings::default()
        };
        let restored = PersistedState::bootstrap(Members::from_voters(voters));
        let mut host = Self {
            member: Member::new(settings, restored, 1, start),
            start,
            now_ms: 0,
            clock_offset_ms: 10_000,
            replies: Replies::new(),
            orders: Vec::new(),
            follower: Follower::default(),
        };
        host.advance(2000);
        host
    }

    fn at(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(1_000_000 + self.clock_offset_ms + self.now_ms)
    }

    fn input(&mut self, input: MemberInput) {
        let now = self.start + Duration::from_millis(self.now_ms);
        for output in self.member.handle(input, now, self.at()) {
            match output {
                MemberOutput::Persist(write) => {
                    let sequence = write.sequence;
                    self.input(MemberInput::Synced { sequence });
                }
                MemberOutput::Reply { ticket, answer } => self.replies.push((ticket, answer)),
                MemberOutput::Order(order) => self.orders.push(order),
                MemberOutput::Settings(diff) => {
                    let outcome = self.follower.apply(&diff);
                    assert_eq!(outcome, ApplyOutcome::Applied { revision: diff.to });
                }
                MemberOutput::Violation(text) | MemberOutput::Fatal(text) => panic!("{text}"),
                _ => {}
            }
        }
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 20 {
            self.now_ms += 20;
            self.input(MemberInput::Tick);
        }
    }

    fn request(&mut self, ticket: u64, request: Request) -> Replies {
        self.input(MemberInput::Request { ticket, request });
        std::mem::take(&mut self.replies)
    }

    fn command(&mut self, command: Command) -> Reply {
        let replies = self.request(1, Request::Command(command));
        match replies.into_iter().next() {
            Some((1, Ok(Response::Applied(reply)))) => reply,
            other => panic!("{other:?}"),
        }
    }

    fn change(&mut self, path: &str, toml: &str) {
        let tree = self.member.state().settings().tree();
        let path: bamboospur_settings::Path = path.parse().expect("a path");
        let Value::Table(table) = Value::parse_toml(toml).expect("TOML") else {
            unreachable!("a document is a table")
        };
        let change = Change {
            id: format!("c{}", tree.revision()),
            operator: "ada".to_owned(),
            base_version: tree.version(&path.branch),
            path,
            edit: Edit::Set(Value::Table(table)),
        };
        let reply = self.command(Command::Change(change));
        assert!(matches!(reply, Reply::Change(Ok(_))), "{reply:?}");
    }

    fn claim(&mut self, number: u64, run_ms: u64) -> ClaimResponse {
        let claim = ClaimCommand {
            key: claim_key("demo", "key"),
            fingerprint: 1,
            attempt: Attempt {
                instance: 1,
                number,
            },
            run_timeout: Duration::from_millis(run_ms),
        };
        match self.command(Command::Claims(vec![claim])) {
            Reply::Claims(answers) => answers[0].clone(),
            other => panic!("{other:?}"),
        }
    }
}

fn single_voter_host() -> Host {
    Host::new(&[(1, 11)])
}

#[test]
fn watchers_are_answered_when_the_claim_is_settled() {
    let mut host = single_voter_host();
    let key = claim_key("demo", "key");
    assert_eq!(host.claim(1, 60_000), ClaimResponse::Granted);
    assert!(matches!(
        host.claim(2, 60_000),
        ClaimResponse::Running { .. }
    ));
    assert_eq!(host.request(7, Request::Watch { key }), []);
    let stored = Arc::new(StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"done".to_vec(),
    });
    let attempt = Attempt {
        instance: 1,
        number: 1,
    };
    let settle = Command::Settle {
        key,
        attempt,
        stored: Arc::clone(&stored),
    };
    let mut replies = host.request(8, Request::Command(settle));
    replies.sort_by_key(|(ticket, _)| *ticket);
    let watched = Response::Watched(Some(ClaimResponse::Answered { stored }));
    let settled = Response::Applied(Reply::Settled(SettleOutcome::Settled));
    assert_eq!(replies, [(7, Ok(watched)), (8, Ok(settled))]);
}

#[test]
fn watchers_are_told_of_a_release_and_of_an_expired_run() {
    let mut host = single_voter_host();
    let key = claim_key("demo", "key");
    host.claim(1, 60_000);
    host.request(7, Request::Watch { key });
    let attempt = Attempt {
        instance: 1,
        number: 1,
    };
    let replies = host.request(8, Request::Command(Command::Release { key, attempt }));
    assert!(
        replies.contains(&(7, Ok(Response::Watched(None)))),
        "{replies:?}"
    );
    host.claim(2, 500);
    assert_eq!(host.request(9, Request::Watch { key }), []);
    host.advance(600);
    let unknown = Response::Watched(Some(ClaimResponse::Unknown));
    assert_eq!(std::mem::take(&mut host.replies), [(9, Ok(unknown))]);
}

#[test]
fn an_expired_run_stays_unknown_when_the_clock_goes_back() {
    let mut host = single_voter_host();
    host.claim(1, 500);
    host.advance(600);
    assert_eq!(host.claim(2, 500), ClaimResponse::Unknown);
    host.clock_offset_ms = 0;
    assert_eq!(
        host.claim(3, 500),
        ClaimResponse::Unknown,
        "the claim is running again"
    );
}

#[test]
fn followers_get_every_change_as_it_is_applied() {
    let mut host = single_voter_host();
    for priority in 1..9 {
        host.change("teams.demo", &format!("priority = {priority}"));
        let team = host.follower.tree().team("demo").expect("it was set");
        assert_eq!(i64::from(team.priority), priority);
    }
    let changes = host.request(3, Request::Changes { since: 2 });
    let (_, Ok(Response::Changes(diff))) = &changes[0] else {
        panic!("{changes:?}")
    };
    assert_eq!((diff.full, diff.from, diff.to), (false, 2, 8));
}

#[test]
fn a_member_without_a_leader_refuses_requests_and_applies_nothing() {
    let mut host = Host::new(&[(1, 11), (2, 12), (3, 13)]);
    let expire = Request::Command(Command::Expire { count: 1 });
    let key = claim_key("demo", "key");
    for request in [expire, Request::Watch { key }, Request::Read] {
        let replies = host.request(4, request.clone());
        let refused = matches!(replies[..], [(4, Err(MemberError::NotLeader { .. }))]);
        assert!(refused, "{request:?}: {replies:?}");
    }
    assert_eq!(host.member.state().applied(), 0);
}

#[test]
fn clients_cannot_issue_orders() {
    let issue = Command::IssueOrders {
        term: 99,
        wanted: Vec::new(),
    };
    let replies = single_voter_host().request(1, Request::Command(issue));
    assert!(
        matches!(replies[..], [(1, Err(MemberError::Invalid { .. }))]),
        "{replies:?}"
    );
}

#[test]
fn engines_get_orders_until_they_report_the_desired_state() {
    let mut host = single_voter_host();
    host.change(
        "fleet",
        "[pools.gpu]\nkind = \"engine\"\n[models.chat]\npool = \"gpu\"\nversions = { \"1\" = { replicas = 1 } }",
    );
    let report = |host: &Host, offers: &[&str]| Report {
        requested_at: host.at(),
        pool: "gpu".to_owned(),
        offers: offers
            .iter()
            .map(|offer| offer.parse().expect("an offer"))
            .collect(),
        role: "both".to_owned(),
        ready: true,
        checks_fencing: false,
    };
    let empty = report(&host, &[]);
    host.input(MemberInput::Report {
        target: 9,
        report: empty.clone(),
    });
    host.advance(1000);
    assert_eq!(host.orders.len(), 1, "{:?}", host.orders);
    let order = host.orders.remove(0);
    assert!(matches!(order.action, Action::Load { .. }) && order.fencing.term > 0);
    let (target, fencing, result) = (order.target, order.fencing, OrderResult::Done);
    host.input(MemberInput::OrderResult {
        target,
        fencing,
        result,
    });
    host.input(MemberInput::Report {
        target: 9,
        report: empty,
    });
    host.advance(500);
    assert_eq!(
        host.orders,
        [],
        "a report from before the result caused the order to be sent again"
    );
    let loaded = report(&host, &["chat@1"]);
    host.input(MemberInput::Report {
        target: 9,
        report: loaded,
    });
    host.advance(20_000);
    assert_eq!(host.orders, []);
}
