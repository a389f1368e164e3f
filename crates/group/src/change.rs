//! Changes of the document, as they are sent and stored in the replicated log, and entries of
//! that log.

use serde::{Deserialize, Serialize};

use crate::document::{Document, DocumentVersion};
use crate::fleet_state::FleetChange;
use crate::patch::Patch;

/// First byte of an encoded patch. An encoded document starts with its version, which is
/// never 0.
const PATCH_MARKER: u8 = 0;
/// First bytes of an encoded change of the fleet. A patch starts with its base version, which
/// is never 0.
const FLEET_MARKER: [u8; 2] = [PATCH_MARKER, 0];

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum LogEntry {
    /// New version of the document.
    Document(Change),
    /// Change of the fleet.
    Fleet(FleetChange),
}

impl LogEntry {
    /// Encodes the entry; `None` when it cannot be encoded.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        match self {
            Self::Document(change) => change.encode(),
            Self::Fleet(change) => postcard::to_extend(change, FLEET_MARKER.to_vec()).ok(),
        }
    }

    /// Decodes an entry of the log.
    pub(crate) fn decode(data: &[u8]) -> Result<Self, postcard::Error> {
        match data.strip_prefix(&FLEET_MARKER) {
            Some(change) => postcard::from_bytes(change).map(Self::Fleet),
            None => Change::decode(data).map(Self::Document),
        }
    }
}

/// New version of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The whole document.
    Whole(Document),
    /// The difference from an earlier version.
    Patch(Patch),
}

impl Change {
    /// Returns a change that leads from `base` to `document`: a patch where that is much
    /// smaller.
    #[must_use]
    pub fn between(base: &Document, document: &Document) -> Self {
        let patch = document.patch_from(base);
        patch.map_or_else(|| Self::Whole(document.clone()), Self::Patch)
    }

    /// Version that the change leads to.
    #[must_use]
    pub const fn version(&self) -> DocumentVersion {
        match self {
            Self::Whole(document) => document.version,
            Self::Patch(patch) => patch.version,
        }
    }

    /// Approximate size of the encoded change, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Whole(document) => document.size_bytes(),
            Self::Patch(patch) => patch.size_bytes(),
        }
    }

    /// Encodes the change for the log; `None` when it cannot be encoded.
    fn encode(&self) -> Option<Vec<u8>> {
        match self {
            Self::Whole(document) => postcard::to_stdvec(document).ok(),
            Self::Patch(patch) => postcard::to_extend(patch, vec![PATCH_MARKER]).ok(),
        }
    }

    /// Decodes a change of the log.
    fn decode(data: &[u8]) -> Result<Self, postcard::Error> {
        match data.split_first() {
            Some((&PATCH_MARKER, patch)) => postcard::from_bytes(patch).map(Self::Patch),
            _ => postcard::from_bytes(data).map(Self::Whole),
        }
    }

    /// Returns the document that the change leads to; `None` for a patch of another
    /// document.
    pub(crate) fn apply(self, document: &Document) -> Option<Document> {
        match self {
            Self::Whole(new) => Some(new),
            Self::Patch(patch) => document.patched(&patch),
        }
    }
}
