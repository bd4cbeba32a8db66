//! An answer kept for repeats of the same request.

crate::message! {
    /// One header field of an answer.
    pub struct Field {
        /// Lower-case name.
        pub name: String,
        /// Value as sent by the target.
        pub value: Vec<u8>,
    }

    /// A whole answer of a target, kept until its key expires.
    pub struct StoredAnswer {
        /// HTTP status code.
        pub status: u16,
        /// End-to-end header fields.
        pub fields: Vec<Field>,
        /// Whole body in bytes.
        pub body: Vec<u8>,
    }
}

impl StoredAnswer {
    /// Returns the bytes that keeping this answer costs, without allocator overhead.
    ///
    /// ```
    /// use seam_protocol::StoredAnswer;
    /// let answer = StoredAnswer { status: 200, fields: vec![], body: vec![0; 10] };
    /// assert!(answer.bytes() >= 10);
    /// ```
    #[must_use]
    pub fn bytes(&self) -> usize {
        let fields: usize = self
            .fields
            .iter()
            .map(|field| field.name.len() + field.value.len() + size_of::<Field>())
            .sum();
        fields + self.body.len() + size_of::<Self>()
    }
}
