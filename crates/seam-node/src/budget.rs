//! A limit on the memory that request bodies use.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of bytes that all request bodies together may hold.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    reserved: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// The bytes held by one body. They are released when it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        let reserved = Arc::default();
        Self {
            reserved,
            max_bytes,
        }
    }

    /// Creates an empty reservation for one body.
    #[must_use]
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl ByteReservation {
    /// Adds bytes to the reservation. Returns whether the budget still allows the total; bytes over
    /// the budget also count until the reservation is dropped.
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
        let reserved = self.budget.reserved.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        reserved <= self.budget.max_bytes
    }

    /// Changes the reservation to a number of bytes. Returns whether the budget allows what is added;
    /// a reservation that does not grow is allowed, whatever others hold.
    ///
    /// ```
    /// use seam_node::budget::ByteBudget;
    /// let budget = ByteBudget::new(10);
    /// let mut reservation = budget.reservation();
    /// assert!(!reservation.set(11));
    /// assert!(reservation.set(10));
    /// assert!(!budget.reservation().reserve(1));
    /// ```
    #[must_use]
    pub fn set(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            let released = self.bytes - bytes;
            let reserved = &self.budget.reserved;
            reserved.fetch_sub(released, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        self.reserve(bytes - self.bytes)
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget
            .reserved
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
