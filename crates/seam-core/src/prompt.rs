//! What a request asks of a model engine.

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the part's text.
    pub id: u64,
    /// Tokens.
    pub tokens: u32,
}

/// A prompt by its parts, and the longest answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order. The last one belongs to the request itself.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Most tokens of the answer.
    pub output_limit: u32,
}

impl Prompt {
    /// Returns the last part that other requests may share. The parts before it are shared by more
    /// requests, and so held by more engines anyway.
    ///
    /// ```
    /// use seam_core::prompt::{Part, Prompt};
    /// let part = |id, tokens| Part { id, tokens };
    /// let parts = vec![part(1, 900), part(2, 100), part(3, 5000)];
    /// let prompt = Prompt { parts, input_tokens: 6000, output_limit: 10 };
    /// assert_eq!(prompt.last_shared().map(|part| part.id), Some(2));
    /// ```
    #[must_use]
    pub fn last_shared(&self) -> Option<Part> {
        let (_, shared) = self.parts.split_last()?;
        shared.last().copied()
    }

    /// Returns the tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared = self
            .parts
            .split_last()
            .map_or(0, |(_, shared)| shared.iter().map(|part| part.tokens).sum());
        self.input_tokens.saturating_sub(shared)
    }

    /// Returns the tokens that a run holds in memory at most.
    #[must_use]
    pub fn peak_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_limit)
    }
}
