//! TCP links.
//!
//! Both ends send a [`Hello`] with a random nonce and derive one key for each
//! direction from both hellos and the fleet's secret. Frames follow: length,
//! truncated keyed hash over the implicit sequence number and the body, body.
//! A frame is never accepted twice, out of order, from an earlier connection or
//! in the other direction. Each end knows that the other one has the secret
//! when it has opened the first frame; until then it accepts small frames only.
//!
//! Bodies are Cap'n Proto in the packed form, which more than halves the
//! heartbeats that make up most of the idle traffic.

mod agreement;
mod frame;
mod hello;
mod session;

use quick_error::quick_error;

pub use frame::{Formation, Frame, FrameKind};
pub use hello::{HELLO_BYTES, Hello, NONCE_BYTES, PROTOCOL_VERSION, Side, open_session};
pub use session::{FRAME_HEADER_BYTES, FrameReader, FrameWriter, MAX_BODY_BYTES, MAX_FIRST_BYTES};

quick_error! {
    /// Why a link cannot go on.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum LinkError {
        /// Not a hello of this protocol.
        NotAHello {
            display("the other end does not speak the protocol of instances")
        }
        /// Another protocol version.
        Version { found: u16 } {
            display("the other end has protocol version {found}, this program has {}: run the same version on all instances", PROTOCOL_VERSION)
        }
        /// The hello was meant for, or claims to come from, another instance.
        WrongInstance { found: u64 } {
            display("the other end is or expects instance {found:016x}: check names and addresses in the settings")
        }
        /// Larger than a frame can be.
        TooLarge { bytes: usize } {
            display("a frame has {bytes} bytes, which is more than is accepted")
        }
        /// From outside the fleet, changed on the way, or replayed.
        Forged {
            display("the keyed hash of a frame does not match: check that all instances have the same fleet secret")
        }
        /// The body is not well formed.
        Form(message: String) {
            display("a frame cannot be read: {message}")
        }
    }
}

impl From<capnp::Error> for LinkError {
    fn from(error: capnp::Error) -> Self {
        Self::Form(error.to_string())
    }
}

impl From<capnp::NotInSchema> for LinkError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Form(error.to_string())
    }
}
