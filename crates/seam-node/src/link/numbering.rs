//! Numbers of the frames of a call between nodes.
//!
//! Something between the nodes may lose frames of a connection and deliver later ones. The numbers
//! show that, so that nothing after the gap is passed on.

/// Numbers frames, or checks the numbers of received frames.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameNumbers {
    last: u32,
}

impl FrameNumbers {
    /// Returns the number of the next frame, from 1.
    pub fn assign(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1).max(1);
        self.last
    }

    /// Returns whether a received frame is the next one. Nodes of earlier versions number none, so
    /// their frames have the number 0.
    ///
    /// ```
    /// use seam_node::link::FrameNumbers;
    /// let mut numbers = FrameNumbers::default();
    /// assert!(numbers.accept(1));
    /// assert!(numbers.accept(2));
    /// assert!(!numbers.accept(4));
    /// let mut unnumbered = FrameNumbers::default();
    /// assert!(unnumbered.accept(0));
    /// assert!(unnumbered.accept(0));
    /// ```
    pub fn accept(&mut self, number: u32) -> bool {
        if number == 0 && self.last == 0 {
            return true;
        }
        number == self.assign()
    }
}
