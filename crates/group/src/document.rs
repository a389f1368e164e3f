//! The replicated document.

use serde::{Deserialize, Serialize};

use crate::patch::Patch;

/// Version number that the operator assigns; the highest one is in force.
pub type DocumentVersion = u64;

/// Longest text of a document, in bytes.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// One version of the document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version; 0 when no document was accepted yet.
    pub version: DocumentVersion,
    /// Compressed text, which the group does not interpret.
    content: Vec<u8>,
}

impl Document {
    /// Creates a document with this text.
    #[must_use]
    pub fn new(version: DocumentVersion, text: &[u8]) -> Self {
        Self {
            version,
            content: lz4_flex::compress_prepend_size(text),
        }
    }

    /// Returns the text; `None` when the content is malformed. The document with version
    /// 0 has no text.
    #[must_use]
    pub fn text(&self) -> Option<Vec<u8>> {
        if self.version == 0 {
            return Some(Vec::new());
        }
        let size = self.content.first_chunk().map(|b| u32::from_le_bytes(*b))?;
        if usize::try_from(size).ok()? > MAX_TEXT_BYTES {
            return None;
        }
        lz4_flex::decompress_size_prepended(&self.content).ok()
    }

    /// Size of the compressed text, in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.content.len()
    }

    /// Returns the patch that leads from `base` to this document, if it is much smaller
    /// than the document.
    #[must_use]
    pub fn patch_from(&self, base: &Self) -> Option<Patch> {
        if base.version == 0 {
            return None;
        }
        let (old, new) = (base.text()?, self.text()?);
        let patch = Patch::between((base.version, &old), (self.version, &new))?;
        (patch.size_bytes() * 2 < self.size_bytes()).then_some(patch)
    }

    /// Returns the document that a patch leads to; `None` when the patch is for another
    /// version or text.
    #[must_use]
    pub fn patched(&self, patch: &Patch) -> Option<Self> {
        if patch.base_version != self.version {
            return None;
        }
        Some(Self::new(patch.version, &patch.apply(&self.text()?)?))
    }
}
