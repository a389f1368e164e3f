//! The replicated document.

use serde::{Deserialize, Serialize};

/// Number that operators give a document; the highest one is in force.
pub type DocumentVersion = u64;

/// One version of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 stands for no document.
    pub version: DocumentVersion,
    /// Content.
    pub content: Vec<u8>,
}
