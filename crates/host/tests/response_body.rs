//! Tests of the end of a streamed body.

use bytes::Bytes;
use camphorloft_host::response_body::{BodyPart, ResponseBody};
use http_body_util::BodyExt;

const EVENT: Bytes = Bytes::from_static(b"id: 1\n\n");

#[tokio::test(flavor = "current_thread")]
async fn stream_is_complete_after_its_end() {
    let (tx, body) = ResponseBody::stream();
    tx.send(Ok(BodyPart::Data(EVENT))).await.expect("there is room");
    tx.send(Ok(BodyPart::End)).await.expect("there is room");
    assert_eq!(body.collect().await.expect("complete").to_bytes(), EVENT);
}

/// Guards against a stream that ends as complete because the task that relays it failed.
#[tokio::test(flavor = "current_thread")]
async fn stream_whose_sender_is_dropped_is_interrupted() {
    let (tx, mut body) = ResponseBody::stream();
    tx.send(Ok(BodyPart::Data(EVENT))).await.expect("there is room");
    drop(tx);
    assert!(body.frame().await.expect("a frame").is_ok());
    assert!(body.frame().await.expect("a frame").is_err());
}
