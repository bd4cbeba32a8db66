//! Limits the items that a node sends to others at once.
//!
//! When a large configuration is published, all nodes of a region learn of it from the same few. If
//! these served all at once, their links would be full for seconds, with requests of callers behind.
//! So a node serves few at a time, and the others ask whoever has it by then.

use std::time::Duration;

use seam_protocol::Time;

/// Size in bytes up to which a reply is always sent.
const SMALL_BYTES: usize = 32 << 10;
/// Fraction of the node's link that large replies may use.
const LINK_FRACTION: f64 = 0.5;

/// The time at which a node may send the next large reply.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransferPacer {
    free_at: Time,
}

impl TransferPacer {
    /// Returns whether to send a reply of `bytes` now, on a link of `mbps` Mbit/s. A large reply
    /// occupies the pacer while it is sent.
    ///
    /// ```
    /// use seam_node::transfers::TransferPacer;
    /// use seam_protocol::Time;
    /// let mut pacer = TransferPacer::default();
    /// // 500 KB take 0.4 s at half of 20 Mbit/s.
    /// assert!(pacer.admit(Time(0), 500_000, 20.0));
    /// assert!(!pacer.admit(Time(300_000), 500_000, 20.0));
    /// assert!(pacer.admit(Time(300_000), 1_000, 20.0));
    /// assert!(pacer.admit(Time(400_000), 500_000, 20.0));
    /// ```
    pub fn admit(&mut self, now: Time, bytes: usize, mbps: f64) -> bool {
        const BITS_PER_BYTE: f64 = 8.0;
        const BITS_PER_MBIT: f64 = 1e6;
        if bytes <= SMALL_BYTES {
            return true;
        }
        if now < self.free_at {
            return false;
        }
        let bits = bytes as f64 * BITS_PER_BYTE;
        let secs = bits / (mbps * BITS_PER_MBIT * LINK_FRACTION);
        self.free_at = now + Duration::from_secs_f64(secs);
        true
    }
}
