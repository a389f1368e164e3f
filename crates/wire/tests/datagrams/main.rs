//! Packets: round trips, budgets, forgery and replay.

mod messages;

use std::net::SocketAddr;

use bamboospur_placement::PlacementMessage;
use bamboospur_wire::FleetKey;
use bamboospur_wire::datagram::{
    Body, DatagramError, MAX_PACKET_BYTES, Opener, Outgoing, PlacementIdMaps, Sealer, ShortIdMap,
    resolve_placement, short,
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

fn ends() -> (Sealer, Opener) {
    let sealer = Sealer::new(&key(), SENDER, START_MS);
    (sealer, Opener::new(&key(), address(1)))
}

fn lists(ids: &ShortIdMap) -> PlacementIdMaps<'_> {
    PlacementIdMaps {
        epoch: messages::EPOCH,
        targets: ids,
        instances: ids,
        offers: ids,
    }
}

fn names(ids: &[u64]) -> ShortIdMap {
    ids.iter().copied().collect()
}

/// Sends content over; `None` when it does not fit a packet.
fn carry(content: &Outgoing) -> Option<(Body, u64)> {
    let (mut sealer, mut opener) = ends();
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

/// Guards against losing or changing a field, and against packets above the
/// byte budget that membership accounts for.
#[test]
fn membership_survives_within_its_budget() {
    fn property(AnyMembership(message): AnyMembership) -> bool {
        let sent = carry(&Outgoing::Membership(message.clone()));
        sent.is_none_or(|(body, _)| body == Body::Membership(message))
    }
    check(12, property as fn(AnyMembership) -> bool);
}

/// Guards against a lease that grows, an ask that shrinks, and packets above
/// the byte budget that limits account for.
#[test]
fn limits_survive_within_their_budget() {
    fn property(AnyLimits(message): AnyLimits) -> bool {
        let Some((Body::Limits(back), _)) = carry(&Outgoing::Limits(message.clone())) else {
            return true;
        };
        messages::is_rounded(&message, &back)
    }
    check(12, property as fn(AnyLimits) -> bool);
}

/// Guards against losing or changing a field, and against packets above the
/// byte budget that placement accounts for.
#[test]
fn placement_survives_within_its_budget() {
    // A holder that is not the sender costs 5 bytes more, which placement does
    // not budget; its tickets are tested on their own.
    fn property(batch: Vec<AnyPlacement>) -> bool {
        let batch: Vec<PlacementMessage> = batch.into_iter().map(|any| any.0).collect();
        let pool = short(5);
        let messages = batch.clone();
        let sent = carry(&Outgoing::Placement { pool, messages });
        let Some((Body::Placement { pool: to, messages }, sequence)) = sent else {
            return true;
        };
        let ids = names(&messages::IDS);
        let (back, unknown) = resolve_placement(&messages, sequence, &lists(&ids));
        assert_eq!(unknown, 0);
        let expected = batch.into_iter();
        let expected = expected.map(|m| messages::with_version(m, sequence));
        to == pool && back == expected.collect::<Vec<_>>()
    }
    check(6, property as fn(Vec<AnyPlacement>) -> bool);
}

/// Guards against mixing up the tickets of several processes: an ask that is
/// passed on keeps the ticket of its holder.
#[test]
fn tickets_keep_the_process_of_their_holder() {
    let ids = names(&messages::IDS);
    let ask = |ticket| PlacementMessage::ReservationRequest(messages::ask_with_ticket(ticket));
    let own = u64::from(messages::EPOCH) << 32;
    let sent = vec![ask(own + 4), ask((77 << 32) + 4), ask(own + 5)];
    let content = Outgoing::Placement {
        pool: short(5),
        messages: sent.clone(),
    };
    let (mut sealer, mut opener) = ends();
    let packet = sealer.seal(address(1), &content).expect("packet");
    let received = opener.open(&packet.bytes).expect("own packet");
    let Body::Placement { messages, .. } = received.body else {
        panic!("another kind");
    };
    let resolved = resolve_placement(&messages, received.sequence, &lists(&ids));
    assert_eq!(resolved, (sent, 0));
}

/// Guards against losing exclusions when most targets refuse.
#[test]
fn an_ask_with_many_exclusions_survives() {
    let ids = names(&messages::IDS);
    for count in [30, 31, 32, 200] {
        let ask = PlacementMessage::ReservationRequest(messages::ask_without(count));
        let content = Outgoing::Placement {
            pool: short(5),
            messages: vec![ask.clone()],
        };
        let (mut sealer, mut opener) = ends();
        let packet = sealer.seal(address(1), &content).expect("packet");
        let received = opener.open(&packet.bytes).expect("own packet");
        let Body::Placement { messages, .. } = received.body else {
            panic!("another kind");
        };
        let resolved = resolve_placement(&messages, received.sequence, &lists(&ids));
        assert_eq!(resolved, (vec![ask], 0));
    }
}

/// Guards against taking one member for another when short ids are equal.
#[test]
fn equal_short_ids_resolve_to_nothing() {
    let (one, other) = (0x1_0000_0001, 0x2_0000_0001);
    assert_eq!(names(&[one]).resolve(short(one)), Some(one));
    assert_eq!(names(&[one, one]).resolve(short(one)), Some(one));
    assert_eq!(names(&[one, other]).resolve(short(one)), None);
}

/// Guards against packets that an outsider changed: every bit is covered.
#[test]
fn a_changed_bit_is_refused() {
    let (mut sealer, mut opener) = ends();
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

/// Guards against packets of other fleets, and against one that was recorded
/// on the way to another instance.
#[test]
fn another_secret_or_receiver_is_refused() {
    let content = Outgoing::Membership(bamboospur_membership::Message::Ping { nonce: 3 });
    let (mut sealer, mut opener) = ends();
    let elsewhere = sealer.seal(address(2), &content).expect("packet");
    let error = opener.open(&elsewhere.bytes).expect_err("another receiver");
    assert_eq!(error, DatagramError::Forged);
    let mut stranger = Sealer::new(&FleetKey::new(b"other"), SENDER, START_MS);
    let foreign = stranger.seal(address(1), &content).expect("packet");
    let error = opener.open(&foreign.bytes).expect_err("another secret");
    assert_eq!(error, DatagramError::Forged);
}

/// Guards against replays, also of packets from before a restart, and against
/// refusing packets that only changed their order.
#[test]
fn each_packet_is_accepted_once_in_any_order() {
    let content = Outgoing::Membership(bamboospur_membership::Message::Ping { nonce: 3 });
    let (mut sealer, mut opener) = ends();
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

/// Guards against panics and unbounded memory on content from a broken sender
/// that has the secret.
#[test]
fn any_content_is_read_or_refused() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(kind: u8, content: Vec<u8>, cut: usize, flip: usize) -> bool {
        let (mut sealer, mut opener) = ends();
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
