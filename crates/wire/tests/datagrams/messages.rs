//! Generators of arbitrary messages for the datagram tests.

use std::net::{Ipv6Addr, SocketAddr};
use std::sync::Arc;

use bamboospur_limits::{Amount, LeaseGrant, LeaseRequest, LimitsMessage};
use bamboospur_membership::{
    Contact, DataCentreAggregate, Gossip, HeartbeatEntry, InstanceRecord, LoadEntry, MemberKey,
    MemberRecord, MemberState, Message, PoolAggregate, RecordEntry, StateEntry, Version,
};
use bamboospur_placement::{Holding, PlacementMessage, ReservationRequest, ReservationStage};
use bamboospur_types::{Offer, TargetKind, TargetRecord, TargetState};
use hmac::{Hmac, KeyInit, Mac};
use quickcheck::{Arbitrary, Gen};
use sha2::Sha256;

/// Ids that tests resolve; their short ids differ.
pub const IDS: [u64; 4] = [0xa1_0000_0001, 0xb2_8000_0002, 0xc3_ffff_ffff, 4];

/// Start time of the sending and the receiving process, in seconds since the Unix epoch.
pub const EPOCH: u32 = 1_764_800_000;

#[derive(Clone, Debug)]
pub struct AnyMembership(pub Message);
#[derive(Clone, Debug)]
pub struct AnyLimits(pub LimitsMessage);
#[derive(Clone, Debug)]
pub struct AnyPlacement(pub PlacementMessage);

fn number(g: &mut Gen) -> u64 {
    let (small, any) = (u64::arbitrary(g) % 1000, u64::arbitrary(g));
    *g.choose(&[0, 1, small, any, u64::MAX - 1, u64::MAX])
        .expect("choice")
}

fn short_number(g: &mut Gen) -> u32 {
    let (small, any) = (u32::arbitrary(g) % 1000, u32::arbitrary(g));
    *g.choose(&[0, small, any, u32::MAX]).expect("choice")
}

fn many<T>(g: &mut Gen, mut make: impl FnMut(&mut Gen) -> T) -> Vec<T> {
    let count = usize::arbitrary(g) % g.size();
    (0..count).map(|_| make(g)).collect()
}

fn text(g: &mut Gen) -> String {
    let length = usize::arbitrary(g) % 40;
    (0..=length).map(|_| 'n').collect()
}

fn address(g: &mut Gen) -> SocketAddr {
    let port = u16::arbitrary(g);
    if bool::arbitrary(g) {
        let ip: [u8; 4] = std::array::from_fn(|_| u8::arbitrary(g));
        return SocketAddr::from((ip, port));
    }
    let ip: [u16; 8] = std::array::from_fn(|_| u16::arbitrary(g));
    SocketAddr::from((Ipv6Addr::from(ip), port))
}

fn state(g: &mut Gen) -> MemberState {
    MemberState::from_repr(u8::arbitrary(g) % 5).expect("state")
}

fn version(g: &mut Gen) -> Version {
    Version {
        incarnation: number(g),
        sequence: short_number(g),
        state: state(g),
    }
}

fn member(g: &mut Gen) -> MemberKey {
    let id = number(g);
    if bool::arbitrary(g) {
        MemberKey::Target(id)
    } else {
        MemberKey::Instance(id)
    }
}

fn state_entry(g: &mut Gen) -> StateEntry {
    StateEntry {
        key: member(g),
        version: version(g),
    }
}

fn offer(g: &mut Gen) -> Offer {
    Offer {
        model: text(g),
        version: text(g),
        adapter: bool::arbitrary(g).then(|| text(g)),
    }
}

fn member_record(g: &mut Gen) -> MemberRecord {
    if bool::arbitrary(g) {
        return MemberRecord::Instance(Arc::new(InstanceRecord {
            name: text(g),
            incarnation: number(g),
            address: address(g),
            data_centre: text(g),
        }));
    }
    MemberRecord::Target(Arc::new(TargetRecord {
        name: text(g),
        incarnation: number(g),
        address: address(g),
        data_centre: text(g),
        pool: text(g),
        kind: *g
            .choose(&[TargetKind::Engine, TargetKind::Service])
            .expect("kind"),
        offers: many(g, offer),
        capacity_tokens: number(g),
        capacity_requests: short_number(g),
        checks_fencing: bool::arbitrary(g),
    }))
}

fn record(g: &mut Gen) -> RecordEntry {
    let details = member_record(g);
    let version = Version {
        incarnation: details.incarnation(),
        ..version(g)
    };
    RecordEntry { version, details }
}

fn load(g: &mut Gen) -> LoadEntry {
    LoadEntry {
        short_id: short_number(g),
        sequence: u16::arbitrary(g),
        tokens: u8::arbitrary(g),
        requests: u8::arbitrary(g),
    }
}

fn heartbeat(g: &mut Gen) -> HeartbeatEntry {
    HeartbeatEntry {
        target: number(g),
        incarnation: number(g),
        sequence: short_number(g),
        state: *g
            .choose(&[TargetState::Ready, TargetState::Draining])
            .expect("state"),
        tokens: u8::arbitrary(g),
        requests: u8::arbitrary(g),
    }
}

fn aggregate(g: &mut Gen) -> DataCentreAggregate {
    DataCentreAggregate {
        data_centre: number(g),
        bridge: number(g),
        sequence: number(g),
        instances: short_number(g),
        contacts: many(g, |g| Contact {
            instance: number(g),
            address: address(g),
        }),
        pools: many(g, |g| PoolAggregate {
            pool: number(g),
            ready: short_number(g),
            tokens: u8::arbitrary(g),
            capacity_tokens: number(g),
        }),
    }
}

impl Arbitrary for AnyMembership {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(match u8::arbitrary(g) % 9 {
            0 => Message::Gossip(Gossip {
                records: many(g, record),
                states: many(g, state_entry),
                loads: many(g, load),
                aggregates: many(g, aggregate),
                is_repair: bool::arbitrary(g),
            }),
            1 => Message::Heartbeats(many(g, heartbeat)),
            2 => Message::Ping { nonce: number(g) },
            3 => Message::Ack { nonce: number(g) },
            4 => Message::PingRequest {
                nonce: number(g),
                address: address(g),
            },
            5 => Message::Digest(many(g, short_number)),
            6 => Message::Summary {
                buckets: number(g),
                entries: many(g, state_entry),
            },
            7 => Message::Want(many(g, member)),
            _ => Message::Aggregate(aggregate(g)),
        })
    }
}

fn amount(g: &mut Gen) -> Amount {
    Amount {
        requests: number(g),
        work: number(g),
        requests_per_minute: number(g),
        work_per_minute: number(g),
    }
}

impl Arbitrary for AnyLimits {
    fn arbitrary(g: &mut Gen) -> Self {
        if bool::arbitrary(g) {
            return Self(LimitsMessage::Ask(many(g, |g| LeaseRequest {
                team: number(g),
                request_number: short_number(g),
                lease_number: short_number(g),
                used: amount(g),
                demand: amount(g),
            })));
        }
        Self(LimitsMessage::Grant(many(g, |g| LeaseGrant {
            team: number(g),
            request_number: short_number(g),
            lease_number: short_number(g),
            amount: amount(g),
            strict: bool::arbitrary(g),
            lifetime_ms: short_number(g),
        })))
    }
}

pub fn sample_limits() -> LimitsMessage {
    LimitsMessage::Grant(vec![LeaseGrant {
        team: 9,
        request_number: 3,
        lease_number: 4,
        amount: Amount::UNLIMITED,
        strict: true,
        lifetime_ms: 2_000,
    }])
}

/// Whether each quantity is exact, rounded in the given direction by less than one unit,
/// or capped at the largest encodable value.
fn amount_is_rounded(sent: &Amount, back: &Amount, round_up: bool) -> bool {
    let one = |sent: u64, back: u64, unit: u64| {
        let largest = u64::from(u32::MAX - 1) * unit;
        if sent == u64::MAX {
            return back == u64::MAX;
        }
        if sent > largest {
            return back == largest;
        }
        let distance = if round_up {
            back.checked_sub(sent)
        } else {
            sent.checked_sub(back)
        };
        distance.is_some_and(|distance| distance < unit)
    };
    one(sent.requests, back.requests, 1)
        && one(sent.work, back.work, 16)
        && one(sent.requests_per_minute, back.requests_per_minute, 1)
        && one(sent.work_per_minute, back.work_per_minute, 16)
}

pub fn is_rounded(sent: &LimitsMessage, back: &LimitsMessage) -> bool {
    match (sent, back) {
        (LimitsMessage::Ask(sent), LimitsMessage::Ask(back)) => {
            let same = |(s, b): (&LeaseRequest, &LeaseRequest)| {
                (s.team, s.request_number, s.lease_number)
                    == (b.team, b.request_number, b.lease_number)
                    && amount_is_rounded(&s.used, &b.used, true)
                    && amount_is_rounded(&s.demand, &b.demand, true)
            };
            sent.len() == back.len() && sent.iter().zip(back).all(same)
        }
        (LimitsMessage::Grant(sent), LimitsMessage::Grant(back)) => {
            let same = |(s, b): (&LeaseGrant, &LeaseGrant)| {
                (
                    s.team,
                    s.request_number,
                    s.lease_number,
                    s.strict,
                    s.lifetime_ms,
                ) == (
                    b.team,
                    b.request_number,
                    b.lease_number,
                    b.strict,
                    b.lifetime_ms,
                ) && amount_is_rounded(&s.amount, &b.amount, false)
            };
            sent.len() == back.len() && sent.iter().zip(back).all(same)
        }
        _ => false,
    }
}

fn id(g: &mut Gen) -> u64 {
    *g.choose(&IDS).expect("id")
}

fn optional_id(g: &mut Gen) -> Option<u64> {
    bool::arbitrary(g).then(|| id(g))
}

/// A number of tokens that fits into the budget of 3 bytes.
fn tokens(g: &mut Gen) -> u32 {
    u32::arbitrary(g) % (1 << 21)
}

/// A ticket whose count fits into the budget of 4 bytes.
fn ticket(g: &mut Gen) -> u64 {
    (u64::from(EPOCH) << 32) + u64::arbitrary(g) % (1 << 28)
}

fn reservation_request(g: &mut Gen) -> ReservationRequest {
    let choices = (0..u8::arbitrary(g) % 7).map(|_| id(g)).collect();
    ReservationRequest {
        holder: id(g),
        ticket: ticket(g),
        chat: number(g),
        offer: optional_id(g),
        work_tokens: tokens(g),
        prefix_tokens: tokens(g),
        choices,
        next: u8::arbitrary(g) % 7,
        round: u8::arbitrary(g) % 4,
        at: optional_id(g),
        stage: *g
            .choose(&[
                ReservationStage::First,
                ReservationStage::Hinted,
                ReservationStage::Probe,
                ReservationStage::Followed,
                ReservationStage::Cold,
                ReservationStage::Last,
            ])
            .expect("stage"),
        source: optional_id(g),
        excluded: many(g, id),
    }
}

pub fn request_with_ticket(ticket: u64) -> ReservationRequest {
    ReservationRequest {
        ticket,
        ..reservation_request(&mut Gen::from_size_and_seed(3, 1))
    }
}

pub fn request_with_exclusions(count: usize) -> ReservationRequest {
    ReservationRequest {
        excluded: IDS.iter().copied().cycle().take(count).collect(),
        ..request_with_ticket(u64::from(EPOCH) << 32)
    }
}

impl Arbitrary for AnyPlacement {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(match u8::arbitrary(g) % 7 {
            0 => PlacementMessage::ReservationRequest(reservation_request(g)),
            1 => PlacementMessage::Grant {
                ticket: ticket(g),
                target: id(g),
                work_tokens: tokens(g),
                source: optional_id(g),
            },
            2 => PlacementMessage::Deny {
                ticket: ticket(g),
                round: u8::arbitrary(g),
            },
            3 => PlacementMessage::Declare {
                version: number(g),
                settled: ticket(g),
                holdings: many(g, |g| Holding {
                    target: id(g),
                    work_tokens: u32::arbitrary(g) % (1 << 28),
                    requests: u16::arbitrary(g) % (1 << 14),
                }),
            },
            4 => PlacementMessage::Summary {
                version: number(g),
                load_tokens: u32::arbitrary(g) % (1 << 28),
                weight_tokens: u32::arbitrary(g) % (1 << 28),
            },
            5 => PlacementMessage::Note {
                chat: number(g),
                target: id(g),
                prefix_tokens: tokens(g),
            },
            _ => PlacementMessage::Evicted {
                target: id(g),
                chats: many(g, number),
            },
        })
    }
}

/// The message as a receiver decodes it: its version is the sequence number of the packet.
pub fn with_version(mut message: PlacementMessage, sequence: u64) -> PlacementMessage {
    if let PlacementMessage::Declare { version, .. } | PlacementMessage::Summary { version, .. } =
        &mut message
    {
        *version = sequence;
    }
    message
}

/// Builds a packet with a valid HMAC around any content, without `Sealer`.
pub fn signed(to: SocketAddr, kind: u8, content: &[u8]) -> Vec<u8> {
    let sign = |key: &[u8], parts: &[&[u8]]| {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any length");
        for part in parts {
            mac.update(part);
        }
        mac.finalize().into_bytes()
    };
    let key = sign(b"secret", &[b"datagrams"]);
    let mut rest = 8_u64.to_le_bytes().to_vec();
    rest.extend(u64::MAX.to_le_bytes());
    rest.push(kind);
    rest.extend(content);
    let SocketAddr::V4(v4) = to else {
        panic!("the tests use IPv4");
    };
    let mut receiver = v4.ip().to_ipv6_mapped().octets().to_vec();
    receiver.extend(to.port().to_le_bytes());
    let tag = sign(&key, &[&rest, &receiver]);
    let mut bytes = tag[..16].to_vec();
    bytes.extend(rest);
    bytes
}
