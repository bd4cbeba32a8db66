//! Stored responses, replayed when a request is repeated with the same idempotency key.

crate::message! {
    /// A header field of a stored response.
    pub struct HeaderField {
        /// Lower-case name.
        pub name: String,
        /// Value as the target sent it.
        pub value: Vec<u8>,
    }

    /// A complete response of a target, stored until its idempotency key expires.
    pub struct StoredResponse {
        /// HTTP status code.
        pub status: u16,
        /// End-to-end header fields, without hop-by-hop ones.
        pub headers: Vec<HeaderField>,
        /// Complete body.
        pub body: Vec<u8>,
    }
}

impl StoredResponse {
    /// Returns the memory in bytes that the response occupies, without allocator overhead.
    ///
    /// ```
    /// use seam_protocol::StoredResponse;
    /// let response = StoredResponse { status: 200, headers: vec![], body: vec![0; 10] };
    /// assert!(response.byte_size() >= 10);
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
