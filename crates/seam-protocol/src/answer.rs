//! An answer kept for repeats of the same request.

crate::message! {
    /// One header field of an answer.
    pub struct HeaderField {
        /// Lower-case name.
        pub name: String,
        /// Value as sent by the target.
        pub value: Vec<u8>,
    }

    /// A whole answer of a target, kept until its key expires.
    pub struct StoredResponse {
        /// HTTP status code.
        pub status: u16,
        /// End-to-end header fields.
        pub headers: Vec<HeaderField>,
        /// Whole body in bytes.
        pub body: Vec<u8>,
    }
}

impl StoredResponse {
    /// Returns the bytes that keeping this answer costs, without allocator overhead.
    ///
    /// ```
    /// use seam_protocol::StoredResponse;
    /// let answer = StoredResponse { status: 200, headers: vec![], body: vec![0; 10] };
    /// assert!(answer.byte_size() >= 10);
    /// ```
    #[must_use]
    pub fn byte_size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|field| field.name.len() + field.value.len() + size_of::<HeaderField>())
            .sum();
        headers + self.body.len() + size_of::<Self>()
    }
}
