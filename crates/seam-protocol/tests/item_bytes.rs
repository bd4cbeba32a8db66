//! Bytes of items, as nodes send them to each other.

use seam_protocol::RawItem;

/// Guards against values that nodes of an earlier version cannot read.
#[test]
fn unchanged_encoding() {
    let item = RawItem {
        key: "k".to_owned(),
        revision: 300,
        value: Some(vec![1, 200, 3]),
        lapsed: true,
    };
    // Each string and byte string has its length before it; numbers have seven bits a byte.
    let bytes = [1, b'k', 0xac, 2, 1, 3, 1, 200, 3, 1];
    assert_eq!(postcard::to_stdvec(&item).unwrap(), bytes);
    assert_eq!(postcard::from_bytes::<RawItem>(&bytes).unwrap(), item);
    let removed = RawItem {
        value: None,
        ..item
    };
    assert_eq!(
        postcard::to_stdvec(&removed).unwrap(),
        [1, b'k', 0xac, 2, 0, 1]
    );
}
