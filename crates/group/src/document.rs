//! The replicated document.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::compression::{compress, decompress};
use crate::patch::Patch;

/// Version number that the operator assigns; the highest one is in force.
pub type DocumentVersion = u64;

/// Usual ratio of the sizes of a text and of its compressed form.
const COMPRESSION_RATIO: usize = 5;

/// One version of the document. Copies share the text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "EncodedDocument", try_from = "EncodedDocument")]
pub struct Document {
    /// Version; 0 when no document was accepted yet.
    pub version: DocumentVersion,
    /// Text, which the group does not interpret.
    text: Arc<[u8]>,
}

impl Document {
    /// Creates a document with this text.
    #[must_use]
    pub fn new(version: DocumentVersion, text: &[u8]) -> Self {
        Self {
            version,
            text: text.into(),
        }
    }

    /// Returns the text.
    #[must_use]
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Approximate size of the encoded document, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.text.len() / COMPRESSION_RATIO
    }

    /// Returns the patch that leads from `base` to this document, if it is much smaller
    /// than the document.
    #[must_use]
    pub fn patch_from(&self, base: &Self) -> Option<Patch> {
        if base.version == 0 {
            return None;
        }
        let base = (base.version, &*base.text);
        let patch = Patch::between(base, (self.version, &self.text))?;
        (patch.size_bytes() * 2 < self.size_bytes()).then_some(patch)
    }

    /// Returns the document that a patch leads to; `None` when the patch is for another
    /// version or text.
    #[must_use]
    pub fn patched(&self, patch: &Patch) -> Option<Self> {
        if patch.base_version != self.version {
            return None;
        }
        Some(Self::new(patch.version, &patch.apply(&self.text)?))
    }
}

/// Document as it is stored and sent.
#[derive(Serialize, Deserialize)]
struct EncodedDocument {
    version: DocumentVersion,
    /// Compressed text; empty for an empty one.
    content: Vec<u8>,
}

impl From<Document> for EncodedDocument {
    fn from(document: Document) -> Self {
        let content = if document.text.is_empty() {
            Vec::new()
        } else {
            compress(&document.text)
        };
        Self {
            version: document.version,
            content,
        }
    }
}

impl TryFrom<EncodedDocument> for Document {
    type Error = String;

    fn try_from(encoded: EncodedDocument) -> Result<Self, String> {
        let version = encoded.version;
        if encoded.content.is_empty() {
            return Ok(Self::new(version, &[]));
        }
        let text = decompress(&encoded.content);
        let text = text.map_err(|error| format!("the text of version {version}: {error}"))?;
        Ok(Self::new(version, &text))
    }
}
