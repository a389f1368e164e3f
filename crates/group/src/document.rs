//! The replicated document.

use serde::{Deserialize, Serialize};

/// Version number that the operator assigns; the highest one is in force.
pub type DocumentVersion = u64;

/// One version of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 when no document was accepted yet.
    pub version: DocumentVersion,
    /// Content, which the group does not interpret.
    pub content: Vec<u8>,
}
