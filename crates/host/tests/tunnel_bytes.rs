//! Tests of the end of forwarded bytes.

use std::io::ErrorKind;

use camphorloft_host::tunnel_bytes::{forward_marked, forwarded_bytes};
use tokio::io::AsyncReadExt;

const BYTES: &[u8] = b"the bytes of an endpoint";

async fn marked() -> Vec<u8> {
    let mut sent = Vec::new();
    forward_marked(BYTES, &mut sent).await.expect("nothing fails");
    sent
}

/// Reads forwarded bytes until they end or fail. Returns what was read, and whether they ended.
async fn read(sent: &[u8], marks_end: bool) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let result = forwarded_bytes(sent, marks_end).read_to_end(&mut bytes).await;
    if let Err(err) = &result {
        assert!(matches!(err.kind(), ErrorKind::UnexpectedEof | ErrorKind::Other), "{err:?}");
    }
    (bytes, result.is_ok())
}

#[tokio::test(flavor = "current_thread")]
async fn bytes_end_at_the_mark() {
    assert_eq!(read(&marked().await, true).await, (BYTES.to_vec(), true));
}

/// Guards against a forwarding host that stops at any byte and makes what it has sent look complete.
#[tokio::test(flavor = "current_thread")]
async fn bytes_that_stop_before_the_mark_are_incomplete() {
    let sent = marked().await;
    for end in 0..sent.len() {
        let (bytes, is_complete) = read(&sent[..end], true).await;
        assert!(!is_complete, "{end} of {} bytes", sent.len());
        assert!(BYTES.starts_with(&bytes));
    }
}

/// Guards against a host of an earlier version, whose stop looks the same as the end of a response.
#[tokio::test(flavor = "current_thread")]
async fn bytes_of_a_host_that_marks_no_end_never_end() {
    assert_eq!(read(BYTES, false).await, (BYTES.to_vec(), false));
}
