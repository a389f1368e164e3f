//! Frames and the encoding of their bodies.

use std::sync::Arc;

use bamboospur_agreement::{DiskId, Message};
use bamboospur_types::InstanceId;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use super::session::MAX_BODY_BYTES;
use super::{LinkError, agreement};
use crate::generated::link_capnp as schema;

/// Most 8-byte words that a decoded body may have. Unpacking can expand a body to a
/// thousand times its length, so the length of the frame does not bound the memory.
const MAX_WORDS: usize = 2 * MAX_BODY_BYTES / 8;
/// Limit of pointer nesting; the deepest message nests frame, agreement, list, entry,
/// members and list.
const MAX_DEPTH: i32 = 8;

/// Message on a link.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Keep-alive, sent when there is no other frame to send.
    Heartbeat {
        /// Settings revision in force on the sender.
        revision: u64,
        /// Leader of the control group known to the sender; `None` when it knows none.
        leader: Option<InstanceId>,
    },
    /// Message of the replicated log.
    Agreement(Box<Message>),
    /// Request to the control group.
    Request {
        /// Number by which the reply is matched to the request.
        ticket: u64,
        /// Output of `bamboospur_control::encode_request`.
        body: Vec<u8>,
    },
    /// Reply to a request.
    Reply {
        /// Number of the request.
        ticket: u64,
        /// Output of `bamboospur_control::encode_response`.
        body: Vec<u8>,
    },
    /// Difference between two settings revisions: output of
    /// `bamboospur_control::encode_diff`.
    Settings(Arc<Vec<u8>>),
    /// Settings revision in force on the sender; also requests the changes since then.
    Report {
        /// Settings revision.
        revision: u64,
    },
    /// What the sender knows about the initial members of the control group.
    Formation(Formation),
    /// Announces that the sender closes the link.
    Goodbye,
}

/// What a configured member knows about the initial members of the control group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Formation {
    /// Id of the sender's disk.
    pub disk: DiskId,
    /// Whether the group is already formed with these members on the sender's disk.
    pub formed: bool,
    /// Known members with their disks, ordered by instance id.
    pub members: Vec<(InstanceId, DiskId)>,
}

/// Kind of a frame; labels traffic counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameKind {
    /// `Heartbeat` and `Goodbye` frames.
    Heartbeat,
    /// `Agreement` frames, which carry the replicated log.
    Agreement,
    /// `Request` and `Reply` frames.
    Request,
    /// `Settings` and `Report` frames.
    Settings,
    /// `Formation` frames.
    Formation,
}

impl Frame {
    /// Returns the kind of the frame for traffic counters.
    #[must_use]
    pub const fn kind(&self) -> FrameKind {
        match self {
            Self::Heartbeat { .. } | Self::Goodbye => FrameKind::Heartbeat,
            Self::Agreement(_) => FrameKind::Agreement,
            Self::Request { .. } | Self::Reply { .. } => FrameKind::Request,
            Self::Settings(_) | Self::Report { .. } => FrameKind::Settings,
            Self::Formation(_) => FrameKind::Formation,
        }
    }

    /// Encodes the frame as the body that [`super::FrameWriter`] signs.
    ///
    /// # Errors
    ///
    /// Fails when a list is too long.
    pub fn encode(&self) -> Result<Vec<u8>, LinkError> {
        let mut message = Builder::new_default();
        self.write(message.init_root())?;
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &message)?;
        Ok(bytes)
    }

    /// Decodes a body whose HMAC has been verified.
    ///
    /// # Errors
    ///
    /// Fails when the body is malformed or too large once unpacked.
    pub fn decode(mut body: &[u8]) -> Result<Self, LinkError> {
        let options = ReaderOptions {
            traversal_limit_in_words: Some(MAX_WORDS),
            nesting_limit: MAX_DEPTH,
        };
        let message = serialize_packed::read_message(&mut body, options)?;
        if !body.is_empty() {
            return Err(LinkError::Malformed(
                "the body has bytes after the message".to_owned(),
            ));
        }
        Self::read(message.get_root()?)
    }

    fn write(&self, mut root: schema::frame::Builder<'_>) -> Result<(), LinkError> {
        match self {
            Self::Heartbeat { revision, leader } => {
                let mut heartbeat = root.init_heartbeat();
                heartbeat.set_revision(*revision);
                heartbeat.set_leader(leader.unwrap_or(0));
            }
            Self::Agreement(message) => agreement::write(message, root.init_agreement())?,
            Self::Request { ticket, body } => {
                let mut request = root.init_request();
                request.set_ticket(*ticket);
                request.set_body(body);
            }
            Self::Reply { ticket, body } => {
                let mut reply = root.init_reply();
                reply.set_ticket(*ticket);
                reply.set_body(body);
            }
            Self::Settings(diff) => root.set_settings(diff),
            Self::Report { revision } => root.set_report(*revision),
            Self::Formation(formation) => formation.write(root.init_formation())?,
            Self::Goodbye => root.set_goodbye(()),
        }
        Ok(())
    }

    fn read(root: schema::frame::Reader<'_>) -> Result<Self, LinkError> {
        use schema::frame::Which;
        Ok(match root.which()? {
            Which::Heartbeat(heartbeat) => Self::Heartbeat {
                revision: heartbeat.get_revision(),
                leader: Some(heartbeat.get_leader()).filter(|leader| *leader != 0),
            },
            Which::Agreement(message) => Self::Agreement(Box::new(agreement::read(message?)?)),
            Which::Request(request) => Self::Request {
                ticket: request.get_ticket(),
                body: request.get_body()?.to_vec(),
            },
            Which::Reply(reply) => Self::Reply {
                ticket: reply.get_ticket(),
                body: reply.get_body()?.to_vec(),
            },
            Which::Settings(diff) => Self::Settings(Arc::new(diff?.to_vec())),
            Which::Report(revision) => Self::Report { revision },
            Which::Formation(formation) => Self::Formation(Formation::read(formation?)?),
            Which::Goodbye(()) => Self::Goodbye,
        })
    }
}

impl Formation {
    fn write(&self, mut builder: schema::formation::Builder<'_>) -> Result<(), LinkError> {
        builder.set_disk(self.disk);
        builder.set_formed(self.formed);
        let mut members = builder.init_members(agreement::list_length(self.members.len())?);
        for (at, (id, disk)) in (0..).zip(&self.members) {
            let mut member = members.reborrow().get(at);
            member.set_id(*id);
            member.set_disk(*disk);
        }
        Ok(())
    }

    fn read(reader: schema::formation::Reader<'_>) -> Result<Self, LinkError> {
        let members = reader.get_members()?;
        agreement::check_list_length(members.len(), agreement::MAX_MEMBER_COUNT)?;
        let members = members.iter();
        Ok(Self {
            disk: reader.get_disk(),
            formed: reader.get_formed(),
            members: members.map(|m| (m.get_id(), m.get_disk())).collect(),
        })
    }
}
