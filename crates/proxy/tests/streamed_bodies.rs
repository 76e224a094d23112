//! Bodies of streamed responses whose sender ends.

use bytes::Bytes;
use calicohoist_proxy::flow::{BodyPart, ResponseBody};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Sends the parts, drops the sender, and returns the body, or `None` if it is aborted.
async fn collect(parts: &[BodyPart]) -> Option<Bytes> {
    let (sender, receiver) = mpsc::unbounded_channel();
    for part in parts {
        sender.send(part.clone()).expect("the receiver exists");
    }
    drop(sender);
    Some(ResponseBody::streamed(receiver).collect().await.ok()?.to_bytes())
}

#[tokio::test]
async fn body_whose_sender_ends_early_is_aborted() {
    let chunk = |text: &'static str| BodyPart::Chunk(Bytes::from_static(text.as_bytes()));
    assert_eq!(collect(&[]).await, None);
    assert_eq!(collect(&[chunk("one")]).await, None);
    assert_eq!(collect(&[chunk("one"), chunk("two")]).await, None);
    let whole = collect(&[chunk("one"), chunk("two"), BodyPart::End]).await;
    assert_eq!(whole.as_deref(), Some(&b"onetwo"[..]));
}
