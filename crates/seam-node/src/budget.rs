//! A bound on the bytes that bodies of requests hold in memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that all bodies together may hold.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    held: Arc<AtomicUsize>,
    most: usize,
}

/// Bytes held by one body, returned when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Allows a number of bytes.
    #[must_use]
    pub fn new(most: usize) -> Self {
        let held = Arc::default();
        Self { held, most }
    }

    /// Starts a body without bytes.
    #[must_use]
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl ByteReservation {
    /// Takes further bytes. Returns whether there were as many.
    ///
    /// ```
    /// use seam_node::budget::ByteBudget;
    /// let budget = ByteBudget::new(10);
    /// let mut first = budget.reservation();
    /// let mut second = budget.reservation();
    /// assert!(first.reserve(7));
    /// assert!(!second.reserve(4));
    /// drop(first);
    /// assert!(second.reserve(4));
    /// ```
    #[must_use]
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        held <= self.budget.most
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
