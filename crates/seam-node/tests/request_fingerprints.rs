//! What identifies a request that comes again.

use std::net::IpAddr;

use bytes::Bytes;
use futures_lite::stream;
use http::Method;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use seam_http::BodyError;
use seam_node::budget::ByteBudget;
use seam_node::inbound::fingerprint;
use seam_node::request_body::{BUFFERED_BYTES, RequestBody};
use seam_protocol::{Fingerprint, ServiceId};

/// Returns the fingerprint of a request whose body arrives in parts of a given size.
fn fingerprint_of(body: &Bytes, part: usize) -> Fingerprint {
    let parts: Vec<_> = body
        .chunks(part)
        .map(|part| Ok::<_, BodyError>(Frame::data(Bytes::copy_from_slice(part))))
        .collect();
    let parts = StreamBody::new(stream::iter(parts)).boxed_unsync();
    let reservation = ByteBudget::new(1 << 20).reservation();
    let read = RequestBody::read(parts, 1 << 20, reservation);
    let read = seam_http::block_on(read).unwrap();
    let caller: IpAddr = [127, 0, 0, 1].into();
    fingerprint(
        ServiceId(1),
        &Method::POST,
        "/chat",
        Some(caller),
        read.first(),
    )
}

/// Guards against a request with a long body that nodes cannot recognize when it comes again.
#[test]
fn long_body() {
    let body = Bytes::from(vec![b'x'; BUFFERED_BYTES * 2]);
    let whole = fingerprint_of(&body, body.len());
    for part in [1000, 8192, 60_000] {
        assert_eq!(fingerprint_of(&body, part), whole, "parts of {part} bytes");
    }
}

#[test]
fn short_bodies_differ() {
    let one = Bytes::from_static(b"one");
    assert_eq!(fingerprint_of(&one, 3), fingerprint_of(&one, 1));
    let other = Bytes::from_static(b"two");
    assert_ne!(fingerprint_of(&one, 3), fingerprint_of(&other, 3));
}
