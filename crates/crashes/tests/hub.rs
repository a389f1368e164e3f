//! Tests which parts a hub blocks, for how long, and what releases them.

use std::time::{Duration, Instant};

use bamboospur_crashes::{Age, CrashMessage, Hub, HubSettings, Member, PartHash};

const SYSTEM: PartHash = 1;
const DOCUMENT: PartHash = 2;
const CRASHING: PartHash = 3;

/// Hub and one member, with the time between crashes.
struct Scene {
    hub: Hub,
    member: Member,
    now: Instant,
    crashes: u64,
}

impl Scene {
    fn new() -> Self {
        Self {
            hub: Hub::new(HubSettings::default()),
            member: Member::default(),
            now: Instant::now(),
            crashes: 0,
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        let messages = self.hub.tick(self.now);
        self.deliver(messages);
    }

    /// Delivers messages of the hub to the member, and the replies to the hub.
    fn deliver(&mut self, messages: Vec<CrashMessage>) {
        for message in messages {
            if let Some(reply) = self.member.handle(&message, self.now) {
                let messages = self.hub.handle(reply, self.now);
                self.deliver(messages);
            }
        }
    }

    /// Another target ends with requests of these parts, a second after the last event, and the
    /// hub asks about them.
    fn crash(&mut self, parts: &[PartHash]) {
        self.wait(Duration::from_secs(1));
        self.crashes += 1;
        for report in CrashMessage::crash_reports(self.crashes, parts) {
            let messages = self.hub.handle(report, self.now);
            self.deliver(messages);
        }
        self.wait(HubSettings::default().watch_delay);
    }

    fn answer(&mut self, parts: &[PartHash]) {
        self.wait(Duration::from_millis(10));
        let report = self.member.record_answer(parts.iter().copied(), self.now);
        if let Some(report) = report {
            let messages = self.hub.handle(report, self.now);
            self.deliver(messages);
        }
    }

    fn is_blocked(&self, part: PartHash) -> bool {
        self.member.find_blocked([part], self.now).is_some()
    }
}

#[test]
fn a_part_that_is_never_answered_is_blocked_at_the_third_crash() {
    let mut scene = Scene::new();
    scene.answer(&[SYSTEM, DOCUMENT]);
    for crash in 1..=3 {
        scene.crash(&[SYSTEM, DOCUMENT, CRASHING]);
        assert_eq!(scene.is_blocked(CRASHING), crash == 3, "{crash}");
    }
    assert!(!scene.is_blocked(SYSTEM) && !scene.is_blocked(DOCUMENT));
}

#[test]
fn several_requests_at_one_crash_count_once() {
    let mut scene = Scene::new();
    scene.crash(&[CRASHING]);
    for _ in 0..5 {
        let report = CrashMessage::Crashed {
            target: scene.crashes,
            parts: vec![CRASHING],
        };
        let messages = scene.hub.handle(report, scene.now);
        scene.deliver(messages);
        scene.wait(Duration::from_secs(1));
    }
    assert!(!scene.is_blocked(CRASHING));
}

#[test]
fn parts_that_are_answered_between_crashes_are_never_blocked() {
    let mut scene = Scene::new();
    for _ in 0..20 {
        scene.crash(&[SYSTEM, DOCUMENT]);
        scene.answer(&[SYSTEM, DOCUMENT]);
    }
    assert!(!scene.is_blocked(SYSTEM) && !scene.is_blocked(DOCUMENT));
}

#[test]
fn crashes_that_a_blocked_part_explains_count_against_no_other() {
    let mut scene = Scene::new();
    scene.answer(&[SYSTEM]);
    for _ in 0..10 {
        scene.crash(&[SYSTEM, CRASHING]);
    }
    assert!(scene.is_blocked(CRASHING));
    assert!(!scene.is_blocked(SYSTEM));
}

#[test]
fn a_part_that_was_answered_before_is_blocked_at_the_fifth_crash_and_for_less_time() {
    let mut scene = Scene::new();
    scene.answer(&[CRASHING]);
    for crash in 1..=5 {
        scene.crash(&[CRASHING]);
        assert_eq!(scene.is_blocked(CRASHING), crash == 5, "{crash}");
    }
    scene.wait(HubSettings::default().first_block_answered);
    assert!(!scene.is_blocked(CRASHING));
}

#[test]
fn targets_that_end_together_block_no_part_that_is_answered_soon_after() {
    let mut scene = Scene::new();
    for target in 1..=6 {
        let report = CrashMessage::Crashed {
            target,
            parts: vec![SYSTEM, DOCUMENT],
        };
        let messages = scene.hub.handle(report, scene.now);
        scene.deliver(messages);
    }
    scene.wait(HubSettings::default().watch_delay);
    scene.wait(Duration::from_millis(200));
    assert!(!scene.is_blocked(SYSTEM));
    scene.answer(&[SYSTEM]);
    scene.wait(Duration::from_millis(300));
    assert!(!scene.is_blocked(SYSTEM) && !scene.is_blocked(DOCUMENT));
    scene.crashes = 6;
    for _ in 0..2 {
        scene.crash(&[SYSTEM, DOCUMENT]);
    }
    assert!(!scene.is_blocked(SYSTEM));
    assert!(scene.is_blocked(DOCUMENT));
    // An answer that was under way all the time.
    scene.answer(&[DOCUMENT]);
    assert!(!scene.is_blocked(DOCUMENT));
}

#[test]
fn a_part_whose_block_is_over_is_blocked_again_by_one_crash_unless_it_was_answered() {
    let first_block = HubSettings::default().first_block;
    for is_answered in [false, true] {
        let mut scene = Scene::new();
        for _ in 0..3 {
            scene.crash(&[CRASHING]);
        }
        scene.wait(first_block);
        assert!(!scene.is_blocked(CRASHING));
        if is_answered {
            scene.answer(&[CRASHING]);
        }
        scene.crash(&[CRASHING]);
        assert_eq!(scene.is_blocked(CRASHING), !is_answered);
        scene.wait(first_block + Duration::from_secs(1));
        assert_eq!(scene.is_blocked(CRASHING), !is_answered);
        scene.wait(first_block);
        assert!(!scene.is_blocked(CRASHING));
    }
}

#[test]
fn a_hub_that_starts_learns_the_blocked_parts_of_members_and_tells_new_ones() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        scene.crash(&[CRASHING]);
    }
    let mut restarted = Hub::new(HubSettings::default());
    let told: Vec<CrashMessage> = scene
        .member
        .state(scene.now)
        .into_iter()
        .flat_map(|message| restarted.handle(message, scene.now))
        .collect();
    let mut other = Member::default();
    for message in &told {
        assert_eq!(other.handle(message, scene.now), None);
    }
    assert!(other.find_blocked([CRASHING], scene.now).is_some());
    let mut started = Member::default();
    for message in restarted.state(scene.now) {
        assert_eq!(started.handle(&message, scene.now), None);
    }
    assert!(started.find_blocked([CRASHING], scene.now).is_some());
    // What is known already is not told again.
    for message in other.state(scene.now) {
        assert!(restarted.handle(message, scene.now).is_empty());
    }
}

#[test]
fn what_a_hub_remembers_is_bounded() {
    let settings = HubSettings {
        max_crashes: 4,
        max_parts_per_crash: 8,
        max_parts: 8,
        ..HubSettings::default()
    };
    let mut hub = Hub::new(settings);
    let start = Instant::now();
    for target in 0..1_000 {
        let now = start + Duration::from_millis(target);
        let parts = (0..100).collect();
        hub.handle(CrashMessage::Crashed { target, parts }, now);
        let blocked = (0..100).map(|part| (part, Age::default())).collect();
        hub.handle(CrashMessage::Blocked(blocked), now);
    }
    assert!(hub.state(start).len() <= 2);
    assert!(hub.blocked_count(start) <= 8);
}

/// Each router reports each end, and each report made the hub ask all routers again: a control
/// group with 84 routers was busy with nothing else.
#[test]
fn the_reports_of_many_routers_about_one_crash_ask_about_its_parts_once() {
    let mut hub = Hub::new(HubSettings::default());
    let mut now = Instant::now();
    let parts: Vec<PartHash> = (0..40).collect();
    let mut asked = 0;
    for target in 0..10 {
        for _router in 0..84 {
            for report in CrashMessage::crash_reports(target, &parts) {
                hub.handle(report, now);
            }
            now += Duration::from_millis(10);
            let messages = hub.tick(now);
            let watches = messages.iter().map(|message| match message {
                CrashMessage::Watch(parts) => parts.len(),
                _ => 0,
            });
            asked += watches.sum::<usize>();
        }
    }
    assert!(asked <= 10 * parts.len(), "{asked} questions");
}

/// Routers that a cut separates from targets took these for ended, and the parts of the requests
/// there were blocked.
#[test]
fn targets_that_go_on_reporting_count_against_no_part() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        scene.crash(&[SYSTEM, DOCUMENT]);
    }
    scene.wait(HubSettings::default().min_watch_time);
    assert!(scene.is_blocked(DOCUMENT));
    // A report can have been under way when its target ended.
    let messages = scene.hub.record_alive(3, scene.now);
    assert!(messages.is_empty() && scene.hub.has_crash(3));
    scene.now += HubSettings::default().max_report_delay;
    let messages = scene.hub.record_alive(3, scene.now);
    scene.deliver(messages);
    assert!(!scene.hub.has_crash(3));
    assert!(!scene.is_blocked(SYSTEM) && !scene.is_blocked(DOCUMENT));
}

/// A cut or a power loss ends many targets at one moment, and nothing answers a rare part in
/// between: the part was blocked for what no request had done.
#[test]
fn targets_that_end_at_one_moment_count_once() {
    let mut scene = Scene::new();
    for target in 0..40 {
        for report in CrashMessage::crash_reports(target, &[SYSTEM, DOCUMENT]) {
            scene.hub.handle(report, scene.now);
        }
        scene.wait(Duration::from_millis(5));
    }
    scene.wait(Duration::from_secs(2));
    assert!(!scene.is_blocked(SYSTEM) && !scene.is_blocked(DOCUMENT));
    scene.crashes = 40;
    for _ in 0..2 {
        scene.crash(&[CRASHING, DOCUMENT]);
        scene.answer(&[SYSTEM]);
    }
    scene.wait(HubSettings::default().min_watch_time);
    assert!(scene.is_blocked(DOCUMENT) && !scene.is_blocked(SYSTEM));
}
