//! Bodies of frames.

use std::sync::Arc;

use bamboospur_agreement::{DiskId, Message};
use bamboospur_types::InstanceId;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;

use super::session::MAX_BODY_BYTES;
use super::{LinkError, agreement};
use crate::generated::link_capnp as schema;

/// Words that a decoded body may have. The packed form can expand a body to a
/// thousand times its length, so memory is bounded by this and not by the
/// length of the frame.
const MAX_WORDS: usize = 2 * MAX_BODY_BYTES / 8;
/// Deepest nesting: frame, agreement, list, entry, members, list.
const MAX_DEPTH: i32 = 8;

/// Frame on a link.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Sign of life when nothing else is sent.
    Heartbeat {
        /// Revision of the settings at the sender.
        revision: u64,
        /// Leader that the sender follows, when it follows one.
        leader: Option<InstanceId>,
    },
    /// Message of the replicated log.
    Agreement(Box<Message>),
    /// Request to the control group.
    Request {
        /// Number that the reply repeats.
        ticket: u64,
        /// Bytes of `bamboospur_control::encode_request`.
        body: Vec<u8>,
    },
    /// Reply to a request.
    Reply {
        /// Number of the request.
        ticket: u64,
        /// Bytes of `bamboospur_control::encode_response`.
        body: Vec<u8>,
    },
    /// Settings that changed: bytes of `bamboospur_control::encode_diff`.
    Settings(Arc<Vec<u8>>),
    /// Revision in force on the sender, which asks for later changes.
    Report {
        /// Revision.
        revision: u64,
    },
    /// What the sender knows about the first members of the group.
    Formation(Formation),
    /// The sender closes the link.
    Goodbye,
}

/// What a listed member knows about the first members of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Formation {
    /// Disk of the sender.
    pub disk: DiskId,
    /// Whether the sender's disk holds a group with these members.
    pub formed: bool,
    /// Members with their disks, in the order of their ids.
    pub members: Vec<(InstanceId, DiskId)>,
}

/// Kind of a frame, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FrameKind {
    /// Heartbeats and goodbyes.
    Heartbeat,
    /// Replicated log.
    Agreement,
    /// Requests and replies.
    Request,
    /// Settings and reports of revisions.
    Settings,
    /// Formation of the group.
    Formation,
}

impl Frame {
    /// Returns the kind of the frame.
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

    /// Encodes the body.
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

    /// Decodes a body whose keyed hash is valid.
    ///
    /// # Errors
    ///
    /// Fails when the body is not well formed or too large.
    pub fn decode(mut body: &[u8]) -> Result<Self, LinkError> {
        let options = ReaderOptions {
            traversal_limit_in_words: Some(MAX_WORDS),
            nesting_limit: MAX_DEPTH,
        };
        let message = serialize_packed::read_message(&mut body, options)?;
        if !body.is_empty() {
            return Err(LinkError::Form("bytes follow the message".to_owned()));
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
        let mut members = builder.init_members(agreement::count(self.members.len())?);
        for (at, (id, disk)) in (0..).zip(&self.members) {
            let mut member = members.reborrow().get(at);
            member.set_id(*id);
            member.set_disk(*disk);
        }
        Ok(())
    }

    fn read(reader: schema::formation::Reader<'_>) -> Result<Self, LinkError> {
        let members = reader.get_members()?;
        agreement::bounded(members.len(), agreement::MAX_MEMBERS)?;
        let members = members.iter();
        Ok(Self {
            disk: reader.get_disk(),
            formed: reader.get_formed(),
            members: members.map(|m| (m.get_id(), m.get_disk())).collect(),
        })
    }
}
