//! Budget for the bytes that callers, targets and peers can make a process buffer.
//!
//! Limits on single messages do not bound their sum, so every buffer that another process fills
//! reserves its size in the budget of its process. A buffer may grow to a share of what is still
//! free (a dynamic threshold, as in switches with shared memory). Buffers that are filled without
//! end so leave room for the short ones of everyone else.

use std::error::Error;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Part of a buffer that needs no reservation; the number of connections bounds the sum.
const FREE_BYTES: usize = 4 * 1024;
/// A buffer may have as many bytes as this part of what is free without it.
const MAX_SHARE_DIVISOR: usize = 3;

/// The budget has no room for a larger buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetExceeded;

impl fmt::Display for BudgetExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the process has no memory left for buffers of this size")
    }
}

impl Error for BudgetExceeded {}

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
    refused: AtomicU64,
}

/// Bytes that the buffers of a process may have together. Clones share them.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    shared: Arc<Shared>,
}

impl BufferBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                limit_bytes,
                used_bytes: AtomicUsize::new(0),
                refused: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the reservation of an empty buffer.
    #[must_use]
    pub fn reservation(&self) -> BufferReservation {
        BufferReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns an empty buffer.
    #[must_use]
    pub fn buffer(&self) -> BudgetedBuffer {
        BudgetedBuffer {
            bytes: Vec::new(),
            reservation: self.reservation(),
        }
    }

    /// Returns the size of the budget.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.shared.limit_bytes
    }

    /// Returns the bytes that are reserved.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns how often a buffer could not grow.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }
}

/// Reservation of one buffer; dropping it frees its bytes.
#[derive(Debug)]
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferReservation {
    /// Changes the reservation to that of a buffer of this many bytes.
    ///
    /// # Errors
    ///
    /// Fails when the buffer would take more than its share of what is free. The reservation is
    /// unchanged then.
    pub fn resize(&mut self, buffer_bytes: usize) -> Result<(), BudgetExceeded> {
        let bytes = buffer_bytes.saturating_sub(FREE_BYTES);
        let shared = &self.budget.shared;
        let own_bytes = self.bytes;
        let changed =
            shared
                .used_bytes
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used_bytes| {
                    let others = used_bytes.saturating_sub(own_bytes);
                    let free_bytes = shared.limit_bytes.saturating_sub(others);
                    let fits = bytes <= own_bytes || bytes <= free_bytes / MAX_SHARE_DIVISOR;
                    fits.then_some(others + bytes)
                });
        if changed.is_err() {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            return Err(BudgetExceeded);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let shared = &self.budget.shared;
        shared.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Buffer whose memory is reserved in a budget.
#[derive(Debug)]
pub struct BudgetedBuffer {
    bytes: Vec<u8>,
    reservation: BufferReservation,
}

impl BudgetedBuffer {
    /// Reserves memory for a buffer of this size, and allocates none yet.
    ///
    /// # Errors
    ///
    /// Fails when the budget has no room.
    pub fn reserve_total(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.reservation.resize(bytes.max(self.bytes.capacity()))
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails, and appends nothing, when the budget has no room.
    pub fn extend(&mut self, data: &[u8]) -> Result<(), BudgetExceeded> {
        let needed_bytes = self.bytes.len() + data.len();
        if needed_bytes > self.bytes.capacity() {
            let doubled_bytes = needed_bytes.max(self.bytes.capacity() * 2);
            let reserved_bytes = self.reservation.bytes + FREE_BYTES;
            let capacity_bytes = if needed_bytes <= reserved_bytes {
                doubled_bytes.min(reserved_bytes)
            } else {
                self.reservation.resize(doubled_bytes)?;
                doubled_bytes
            };
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl AsRef<[u8]> for BudgetedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Size of the parts of a [`ChunkedBuffer`]. Each thread of a process keeps memory of the size of the
/// largest allocation that it has freed, so a process with many threads makes no large ones.
const CHUNK_BYTES: usize = 64 * 1024;

/// Buffer in several parts whose memory is reserved in a budget.
#[derive(Debug)]
pub struct ChunkedBuffer {
    chunks: Vec<Vec<u8>>,
    len_bytes: usize,
    reservation: BufferReservation,
}

impl ChunkedBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new(budget: &BufferBudget) -> Self {
        Self {
            chunks: Vec::new(),
            len_bytes: 0,
            reservation: budget.reservation(),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails, and appends nothing, when the budget has no room.
    pub fn extend(&mut self, mut data: &[u8]) -> Result<(), BudgetExceeded> {
        self.reservation.resize(self.len_bytes + data.len())?;
        self.len_bytes += data.len();
        while !data.is_empty() {
            if self
                .chunks
                .last()
                .is_none_or(|last| last.len() >= CHUNK_BYTES)
            {
                self.chunks.push(Vec::new());
            }
            if let Some(last) = self.chunks.last_mut() {
                let (part, rest) = data.split_at(data.len().min(CHUNK_BYTES - last.len()));
                last.extend_from_slice(part);
                data = rest;
            }
        }
        Ok(())
    }

    /// Returns the number of bytes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len_bytes
    }

    /// Whether there are no bytes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len_bytes == 0
    }

    /// Returns the parts.
    pub fn chunks(&self) -> impl Iterator<Item = &[u8]> {
        self.chunks.iter().map(Vec::as_slice)
    }

    /// Copies the bytes, outside the budget.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.chunks.concat()
    }
}
