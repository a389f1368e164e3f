//! Links between the processes of a deployment.
//!
//! A link is a TCP connection with length-prefixed frames. Control instances
//! dial each other in both directions and send on the connection that they
//! dialled. Routers dial control instances, and other routers that relay for them,
//! and both sides send. The side that dials sends a frame at least once a second and
//! expects an answer, so a silent connection is detected and replaced.

mod accept;
mod accepted;
mod bulk;
mod codec;
mod dial;
mod frame;
mod prefixes;
mod requests;
mod traffic;

pub use accept::{AcceptEvent, FrameQueue, LinkId, serve};
pub use accepted::AcceptedLinks;
pub use bulk::{BulkItem, BulkKind, BulkQueue, prefix_frames};
pub use codec::{FrameError, FrameReader, encode};
pub use dial::{DialEvent, DialedLink, dial};
pub use frame::{Frame, Hello, Role, RouterLocation, Ticket};
pub use requests::{Requests, Responder};
pub use traffic::{Traffic, queued_link_bytes, record_queued, record_written};
