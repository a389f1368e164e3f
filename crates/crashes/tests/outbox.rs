//! Bytes that messages about crashes may take.

use std::time::{Duration, Instant};

use bamboospur_crashes::{CrashMessage, CrashOutbox, CrashOutboxSettings, PartHash};

const SETTINGS: CrashOutboxSettings = CrashOutboxSettings::HUB;

fn watch(parts: PartHash) -> CrashMessage {
    CrashMessage::Watch((0..parts).collect())
}

/// Routers and control instances sent whatever they knew of crashes at once, in front of votes,
/// reports of targets and leases.
#[test]
fn messages_about_crashes_stay_within_their_bytes_per_second() {
    const TIME: Duration = Duration::from_secs(20);
    for receivers in [1, 10, 84, 300, 1_000] {
        let start = Instant::now();
        let mut outbox = CrashOutbox::new(SETTINGS, start);
        let (mut bytes, mut largest) = (0, 0);
        let mut now = start;
        while now < start + TIME {
            outbox.push([watch(64), watch(3)]);
            while let Some(message) = outbox.pop(receivers, now) {
                let size = message.max_encoded_bytes() * receivers;
                bytes += size;
                largest = largest.max(size);
            }
            now += Duration::from_millis(20);
        }
        let bytes_per_s = usize::try_from(SETTINGS.bytes_per_s).expect("a size");
        let burst = usize::try_from(SETTINGS.burst_bytes).expect("a size");
        // The last message may begin within the limit and end beyond it.
        let allowed = bytes_per_s * 20 + burst + largest;
        assert!(
            bytes <= allowed,
            "{receivers} receivers: {bytes} of {allowed}"
        );
        assert!(bytes >= bytes_per_s * 19, "{receivers} receivers: {bytes}");
        assert!(outbox.dropped() > 0);
    }
}

#[test]
fn decisions_go_before_evidence_and_evidence_before_questions() {
    let now = Instant::now();
    let mut outbox = CrashOutbox::new(SETTINGS, now);
    let crashed = CrashMessage::Crashed {
        target: 1,
        parts: vec![1],
    };
    let released = CrashMessage::Released(vec![3]);
    let blocked = CrashMessage::Blocked(Vec::new());
    outbox.push([watch(1), crashed.clone(), released.clone(), blocked.clone()]);
    let sent: Vec<_> = std::iter::from_fn(|| outbox.pop(1, now)).collect();
    assert_eq!(sent, [released, blocked, crashed, watch(1)]);
    assert_eq!(outbox.next_at(), None);
}
