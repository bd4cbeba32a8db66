//! Prompts of requests to model engines.

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A prompt as a list of parts, with the token limit of its output.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order. The last one is specific to the request.
    pub parts: Vec<Part>,
    /// Length of the whole prompt in tokens.
    pub input_tokens: u32,
    /// Maximum length of the output in tokens.
    pub output_limit: u32,
}

impl Prompt {
    /// Returns the parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last part that other requests may share.
    ///
    /// The parts before it are shared by more requests, and are therefore cached by more engines.
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
        self.shared_parts().last().copied()
    }

    /// Returns the number of tokens that no other request shares.
    #[must_use]
    pub fn unshared_tokens(&self) -> u32 {
        let shared = self.shared_parts().iter().map(|part| part.tokens).sum();
        self.input_tokens.saturating_sub(shared)
    }

    /// Returns the largest number of tokens that a run of the request keeps in KV memory.
    #[must_use]
    pub fn peak_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.output_limit)
    }
}
