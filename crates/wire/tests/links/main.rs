//! Links: hellos, round trips of frames, forgery and malformed bodies.

mod frames;

use bamboospur_wire::FleetKey;
use bamboospur_wire::link::{
    FRAME_HEADER_BYTES, Frame, FrameReader, FrameWriter, HELLO_BYTES, Hello, LinkError,
    MAX_FIRST_BODY_BYTES, NONCE_BYTES, Side, open_session,
};
use frames::AnyFrame;
use quickcheck::{Gen, QuickCheck, Testable};

const SEED: u64 = 43;

fn check(size: usize, property: impl Testable) {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(size, SEED))
        .tests(500)
        .quickcheck(property);
}

fn hello(from: u64, nonce: u8) -> Hello {
    Hello {
        from,
        to: 0,
        control: true,
        nonce: [nonce; NONCE_BYTES],
    }
}

/// Returns the writer and reader of the dialler, then those of the listener.
fn link_ends(secret: &[u8], nonce: u8) -> [(FrameWriter, FrameReader); 2] {
    let key = FleetKey::new(secret);
    let (dialler, listener) = (hello(1, nonce), hello(2, 9));
    [Side::Dialler, Side::Listener].map(|side| open_session(&key, side, &dialler, &listener))
}

fn read(reader: &mut FrameReader, bytes: &[u8]) -> Result<Frame, LinkError> {
    let Some((header, body)) = bytes.split_first_chunk::<FRAME_HEADER_BYTES>() else {
        return Err(LinkError::NotAHello);
    };
    let length = reader.body_bytes(header)?;
    let body = body.get(..length).ok_or(LinkError::NotAHello)?;
    reader.read(header, body)
}

fn heartbeat() -> Frame {
    Frame::Heartbeat {
        revision: 7,
        leader: Some(3),
    }
}

/// Guards against a field of any frame that is lost or changed.
#[test]
fn frames_survive_the_link() {
    fn property(sent: Vec<AnyFrame>) -> bool {
        let [(mut writer, _), (_, mut reader)] = link_ends(b"secret", 1);
        let first = writer.write(&heartbeat()).expect("frame");
        assert_eq!(read(&mut reader, &first), Ok(heartbeat()));
        sent.into_iter().all(|AnyFrame(frame)| {
            let bytes = writer.write(&frame).expect("frame");
            read(&mut reader, &bytes) == Ok(frame)
        })
    }
    check(6, property as fn(Vec<AnyFrame>) -> bool);
}

/// Guards against accepting modified frames: the HMAC covers every bit.
#[test]
fn a_changed_bit_is_refused() {
    let [(mut writer, _), _] = link_ends(b"secret", 1);
    let bytes = writer.write(&heartbeat()).expect("frame");
    for bit in 0..bytes.len() * 8 {
        let [_, (_, mut reader)] = link_ends(b"secret", 1);
        let mut changed = bytes.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(read(&mut reader, &changed).is_err(), "bit {bit}");
    }
}

/// Guards against accepting replayed frames (within a link, from an earlier link, or
/// reflected to the sender) and frames of another fleet.
#[test]
fn a_frame_is_accepted_once_at_its_place() {
    let [(mut writer, mut own), (_, mut reader)] = link_ends(b"secret", 1);
    let first = writer.write(&heartbeat()).expect("frame");
    let second = writer.write(&heartbeat()).expect("frame");
    assert_eq!(read(&mut reader, &second), Err(LinkError::Forged));
    assert_eq!(read(&mut own, &first), Err(LinkError::Forged));
    assert!(read(&mut reader, &first).is_ok());
    assert_eq!(read(&mut reader, &first), Err(LinkError::Forged));
    for (secret, nonce) in [(b"secret", 2), (b"strang", 1)] {
        let [_, (_, mut other)] = link_ends(secret, nonce);
        assert_eq!(read(&mut other, &first), Err(LinkError::Forged));
    }
}

/// Guards against large allocations for a peer that has not proved that it has the
/// secret.
#[test]
fn the_first_frame_is_small() {
    let [(mut writer, _), (_, reader)] = link_ends(b"secret", 1);
    let body = vec![1; 2 * MAX_FIRST_BODY_BYTES];
    let bytes = writer.write(&Frame::Request { ticket: 1, body });
    let bytes = bytes.expect("frame");
    let header = bytes.first_chunk().expect("header");
    let refused = reader.body_bytes(header);
    assert!(matches!(refused, Err(LinkError::TooLarge { .. })));
}

/// Guards against accepting connections of another protocol or of an incompatible
/// protocol version.
#[test]
fn a_hello_is_read_or_refused() {
    let sent = hello(5, 4);
    let bytes = sent.encode();
    assert_eq!(bytes.len(), HELLO_BYTES);
    assert_eq!(Hello::decode(&bytes), Ok(sent));
    let mut newer = bytes.clone();
    newer[4] += 1;
    let refused = Hello::decode(&newer);
    assert_eq!(refused, Err(LinkError::Version { found: 2 }));
    let mut http = bytes.clone();
    http[..4].copy_from_slice(b"GET ");
    assert_eq!(Hello::decode(&http), Err(LinkError::NotAHello));
    assert_eq!(Hello::decode(&bytes[1..]), Err(LinkError::NotAHello));
}

/// Guards against panics and unbounded memory use on malformed bodies from a sender that
/// has the secret: random, truncated, or with a flipped bit.
#[test]
fn any_body_is_read_or_refused() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn property(AnyFrame(frame): AnyFrame, random: Vec<u8>, cut: usize, flip: usize) -> bool {
        let [(mut writer, _), _] = link_ends(b"secret", 1);
        let bytes = writer.write(&frame).expect("frame");
        let body = &bytes[FRAME_HEADER_BYTES..];
        let mut changed = body.to_vec();
        changed[flip / 8 % body.len()] ^= 1 << (flip % 8);
        let cut = &body[..cut % body.len()];
        for body in [cut, &changed, &random] {
            let _ = frames::decode(body);
        }
        true
    }
    check(300, property as fn(AnyFrame, Vec<u8>, usize, usize) -> bool);
}

/// Guards against a small frame that expands to gigabytes: the packed encoding stores
/// 2 KB of zeros in two bytes.
#[test]
fn an_expanding_body_is_refused() {
    let mut body = vec![0x10, 0xff, 0xff, 0xff, 0xff];
    body.extend([0, 255].repeat(100_000));
    assert!(frames::decode(&body).is_err());
}
