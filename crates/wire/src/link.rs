//! TCP links between instances.
//!
//! Both ends send a [`Hello`] with a random nonce and derive one key for each direction
//! from both hellos and the secret of the fleet. Frames follow. A frame consists of the
//! length of its body, a truncated HMAC and the body. The HMAC covers the sequence
//! number of the frame, which is not sent, the length and the body. A frame that is
//! repeated, out of order, from an earlier connection or from the other direction is
//! refused. The first valid frame proves to an end that the other end has the secret;
//! until then, only small frames are accepted.
//!
//! Bodies are Cap'n Proto in packed encoding, which more than halves the size of
//! heartbeats, the bulk of the traffic on idle links.

mod agreement;
mod frame;
mod hello;
mod session;

use quick_error::quick_error;

pub use frame::{Formation, Frame, FrameKind};
pub use hello::{HELLO_BYTES, Hello, NONCE_BYTES, PROTOCOL_VERSION, Side, open_session};
pub use session::{
    FRAME_HEADER_BYTES, FrameReader, FrameWriter, MAX_BODY_BYTES, MAX_FIRST_BODY_BYTES,
};

quick_error! {
    /// Error that makes a link unusable, unless stated otherwise.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum LinkError {
        /// The first bytes are not a hello of this protocol.
        NotAHello {
            display("the first bytes from the other end are not a hello of the instance protocol")
        }
        /// The other end has another protocol version.
        Version { found: u16 } {
            display("the other end has protocol version {found}, this program has {}: run the same version on all instances", PROTOCOL_VERSION)
        }
        /// The hello is addressed to, or comes from, another instance than expected.
        WrongInstance { found: u64 } {
            display("the other end is or expects instance {found:016x}: check names and addresses in the settings")
        }
        /// The frame is too large, or a list in it is too long, to be encoded or
        /// accepted. A sender can go on with the next frame.
        TooLarge { bytes: usize } {
            display("the body of a frame has {bytes} bytes, which is above the limit")
        }
        /// The HMAC does not match: the frame comes from outside the fleet, was modified
        /// or was replayed.
        Forged {
            display("the HMAC of a frame does not match: check that all instances have the same fleet secret")
        }
        /// The body is malformed.
        Malformed(message: String) {
            display("the body of a frame is malformed: {message}")
        }
    }
}

impl From<capnp::Error> for LinkError {
    fn from(error: capnp::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

impl From<capnp::NotInSchema> for LinkError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Malformed(error.to_string())
    }
}
