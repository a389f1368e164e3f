//! Datagrams: round trips, byte budgets, forgery and replay.

mod messages;

use std::net::SocketAddr;
use std::time::Duration;

use bamboospur_crashes::{Age, CrashMessage, MAX_PARTS_PER_MESSAGE};
use bamboospur_placement::PlacementMessage;
use bamboospur_wire::FleetKey;
use bamboospur_wire::datagram::{
    Body, DatagramError, MAX_PACKET_BYTES, Opener, Outgoing, PlacementIdMaps, Sealer, ShortIdMap,
    resolve_placement, shorten_id,
};
use messages::{AnyLimits, AnyMembership, AnyPlacement};
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 41;
const SENDER: u64 = 7;
const START_MS: u64 = 1_000 * messages::EPOCH as u64;

fn check(size: usize, property: impl Testable) {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, SEED))
        .tests(500)
        .quickcheck(property);
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn key() -> FleetKey {
    FleetKey::new(b"secret")
}

fn sealer_and_opener() -> (Sealer, Opener) {
    let sealer = Sealer::new(&key(), SENDER, START_MS);
    (sealer, Opener::new(&key(), address(1)))
}

fn id_maps(ids: &ShortIdMap) -> PlacementIdMaps<'_> {
    PlacementIdMaps {
        epoch: messages::EPOCH,
        targets: ids,
        instances: ids,
        offers: ids,
    }
}

fn id_map(ids: &[u64]) -> ShortIdMap {
    ids.iter().copied().collect()
}

/// Seals content and opens the packet; `None` when the content does not fit into a packet.
fn send_and_receive(content: &Outgoing) -> Option<(Body, u64)> {
    let (mut sealer, mut opener) = sealer_and_opener();
    let packet = match sealer.seal(address(1), content) {
        Ok(packet) => packet,
        Err(DatagramError::TooLarge { .. }) => return None,
        Err(error) => panic!("{error}"),
    };
    let (sent, budget) = (packet.sent_bytes(), packet.budget_bytes);
    assert!(sent <= budget, "{sent} bytes, budget {budget}: {content:?}");
    assert!(sent <= MAX_PACKET_BYTES);
    let received = opener.open(&packet.bytes).expect("own packet");
    assert_eq!(received.sender, SENDER);
    Some((received.body, received.sequence))
}

/// Guards against a field that is lost or changed, and against packets above the byte
/// budget that the membership crate accounts for.
#[test]
fn membership_survives_within_its_budget() {
    fn property(AnyMembership(message): AnyMembership) -> bool {
        let sent = send_and_receive(&Outgoing::Membership(message.clone()));
        sent.is_none_or(|(body, _)| body == Body::Membership(message))
    }
    check(12, property as fn(AnyMembership) -> bool);
}

/// Guards against rounding that enlarges a grant or shrinks a request, and against
/// packets above the byte budget that the limits crate accounts for.
#[test]
fn limits_survive_within_their_budget() {
    fn property(AnyLimits(message): AnyLimits) -> bool {
        let Some((Body::Limits(back), _)) = send_and_receive(&Outgoing::Limits(message.clone()))
        else {
            return true;
        };
        messages::is_rounded(&message, &back)
    }
    check(12, property as fn(AnyLimits) -> bool);
}

/// Guards against a message that is lost or changed, and against packets above the budget.
#[test]
fn crash_messages_survive_within_their_budget() {
    let parts: Vec<u64> = (0..MAX_PARTS_PER_MESSAGE as u64)
        .map(|n| u64::MAX - n)
        .collect();
    let spans: Vec<(u64, Age)> = parts
        .iter()
        .map(|&part| (part, Duration::MAX.into()))
        .collect();
    let crashed = CrashMessage::Crashed {
        target: u64::MAX,
        parts: parts.clone(),
    };
    for message in [
        crashed,
        CrashMessage::Watch(parts.clone()),
        CrashMessage::Answered(spans.clone()),
        CrashMessage::Blocked(spans),
        CrashMessage::Released(parts),
        CrashMessage::Watch(Vec::new()),
    ] {
        let sent = send_and_receive(&Outgoing::Crashes(message.clone()));
        assert_eq!(sent.map(|(body, _)| body), Some(Body::Crashes(message)));
    }
}

/// Guards against a field that is lost or changed, and against packets above the byte
/// budget that the placement crate accounts for.
#[test]
fn placement_survives_within_its_budget() {
    // A ticket with another epoch than the sender's takes 5 more bytes, which the
    // placement crate does not budget; `tickets_keep_the_process_of_their_holder` tests
    // such tickets.
    fn property(batch: Vec<AnyPlacement>) -> bool {
        let batch: Vec<PlacementMessage> = batch.into_iter().map(|any| any.0).collect();
        let pool = shorten_id(5);
        let messages = batch.clone();
        let sent = send_and_receive(&Outgoing::Placement { pool, messages });
        let Some((Body::Placement { pool: to, messages }, sequence)) = sent else {
            return true;
        };
        let ids = id_map(&messages::IDS);
        let (back, unknown) = resolve_placement(&messages, sequence, &id_maps(&ids));
        assert_eq!(unknown, 0);
        let expected = batch.into_iter();
        let expected = expected.map(|m| messages::with_version(m, sequence));
        to == pool && back == expected.collect::<Vec<_>>()
    }
    check(6, property as fn(Vec<AnyPlacement>) -> bool);
}

/// Guards against mixing up the tickets of several processes: a forwarded reservation
/// request keeps the epoch of its holder.
#[test]
fn tickets_keep_the_process_of_their_holder() {
    let ids = id_map(&messages::IDS);
    let request =
        |ticket| PlacementMessage::ReservationRequest(messages::request_with_ticket(ticket));
    let own = u64::from(messages::EPOCH) << 32;
    let sent = vec![request(own + 4), request((77 << 32) + 4), request(own + 5)];
    let content = Outgoing::Placement {
        pool: shorten_id(5),
        messages: sent.clone(),
    };
    let (mut sealer, mut opener) = sealer_and_opener();
    let packet = sealer.seal(address(1), &content).expect("packet");
    let received = opener.open(&packet.bytes).expect("own packet");
    let Body::Placement { messages, .. } = received.body else {
        panic!("another kind");
    };
    let resolved = resolve_placement(&messages, received.sequence, &id_maps(&ids));
    assert_eq!(resolved, (sent, 0));
}

/// Guards against exclusions that are lost when most targets refuse a request, so that
/// their number does not fit into its 5-bit field.
#[test]
fn a_request_with_many_exclusions_survives() {
    let ids = id_map(&messages::IDS);
    for count in [30, 31, 32, 200] {
        let request =
            PlacementMessage::ReservationRequest(messages::request_with_exclusions(count));
        let content = Outgoing::Placement {
            pool: shorten_id(5),
            messages: vec![request.clone()],
        };
        let (mut sealer, mut opener) = sealer_and_opener();
        let packet = sealer.seal(address(1), &content).expect("packet");
        let received = opener.open(&packet.bytes).expect("own packet");
        let Body::Placement { messages, .. } = received.body else {
            panic!("another kind");
        };
        let resolved = resolve_placement(&messages, received.sequence, &id_maps(&ids));
        assert_eq!(resolved, (vec![request], 0));
    }
}

/// Guards against confusing two members that have the same short id.
#[test]
fn equal_short_ids_resolve_to_nothing() {
    let (one, other) = (0x1_0000_0001, 0x2_0000_0001);
    assert_eq!(id_map(&[one]).resolve(shorten_id(one)), Some(one));
    assert_eq!(id_map(&[one, one]).resolve(shorten_id(one)), Some(one));
    assert_eq!(id_map(&[one, other]).resolve(shorten_id(one)), None);
}

/// Guards against accepting modified packets: the HMAC covers every bit.
#[test]
fn a_changed_bit_is_refused() {
    let (mut sealer, mut opener) = sealer_and_opener();
    let content = Outgoing::Membership(bamboospur_membership::Message::Ping { nonce: 3 });
    let packet = sealer.seal(address(1), &content).expect("packet").bytes;
    for bit in 0..packet.len() * 8 {
        let mut changed = packet.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let error = opener.open(&changed).expect_err("changed");
        assert_eq!(error, DatagramError::Forged, "bit {bit}");
    }
    opener.open(&packet).expect("the packet itself");
}

/// Guards against accepting packets of another fleet, or packets captured on their way
/// to another instance.
#[test]
fn another_secret_or_receiver_is_refused() {
    let content = Outgoing::Membership(bamboospur_membership::Message::Ping { nonce: 3 });
    let (mut sealer, mut opener) = sealer_and_opener();
    let elsewhere = sealer.seal(address(2), &content).expect("packet");
    let error = opener.open(&elsewhere.bytes).expect_err("another receiver");
    assert_eq!(error, DatagramError::Forged);
    let mut stranger = Sealer::new(&FleetKey::new(b"other"), SENDER, START_MS);
    let foreign = stranger.seal(address(1), &content).expect("packet");
    let error = opener.open(&foreign.bytes).expect_err("another secret");
    assert_eq!(error, DatagramError::Forged);
}

/// Guards against replays, also of packets from before a restart of the sender, and
/// against refusing packets that were only reordered.
#[test]
fn each_packet_is_accepted_once_in_any_order() {
    let content = Outgoing::Membership(bamboospur_membership::Message::Ping { nonce: 3 });
    let (mut sealer, mut opener) = sealer_and_opener();
    let mut seal = || sealer.seal(address(1), &content).expect("packet").bytes;
    let early: Vec<_> = (0..300).map(|_| seal()).collect();
    for packet in early.iter().rev() {
        opener.open(packet).expect("late but new");
    }
    for packet in &early {
        let error = opener.open(packet).expect_err("replay");
        assert_eq!(error, DatagramError::Replayed);
    }
    let mut restarted = Sealer::new(&key(), SENDER, START_MS + 1);
    let first = restarted.seal(address(1), &content).expect("packet").bytes;
    opener.open(&first).expect("after a restart");
    let old = seal();
    let error = opener.open(&old).expect_err("of the former process");
    assert_eq!(error, DatagramError::Replayed);
}

/// Guards against panics and unbounded memory use on malformed content from a sender
/// that has the secret.
#[test]
fn any_content_is_read_or_refused() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(kind: u8, content: Vec<u8>, cut: usize, flip: usize) -> bool {
        let (mut sealer, mut opener) = sealer_and_opener();
        let valid = Outgoing::Limits(messages::sample_limits());
        let valid = sealer.seal(address(1), &valid).expect("packet").bytes;
        let mut bytes = valid.clone();
        bytes.truncate(cut % (valid.len() + 1));
        let at = flip % (valid.len() * 8);
        if let Some(byte) = bytes.get_mut(at / 8) {
            *byte ^= 1 << (at % 8);
        }
        let _ = opener.open(&bytes);
        let _ = opener.open(&content);
        let body = messages::signed(address(1), kind % 5, &content);
        let _ = opener.open(&body);
        true
    }
    check(400, property as fn(u8, Vec<u8>, usize, usize) -> bool);
}
