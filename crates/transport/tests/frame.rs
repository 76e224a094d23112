//! Frames that share their last field with others read like any frame.

use calicohoist_transport::{Frame, FrameReader, SharedField, WaitingBytes, spawn_writer};

type Message = (u64, Vec<u8>);

#[tokio::test]
async fn a_shared_field_is_read_as_part_of_each_message() {
    let (output, input) = tokio::io::duplex(64);
    let waiting = WaitingBytes::default();
    let queue = spawn_writer(output, waiting.clone());
    let field = SharedField::encode(&vec![7_u8; 100_000]).expect("encodes");
    let sent: Vec<Message> = vec![(1, vec![7; 100_000]), (2, vec![9; 10]), (300, vec![7; 100_000])];
    for message in &sent {
        let frame = match message.1.len() {
            100_000 => Frame::with_shared(&message.0, &field),
            _ => Frame::encode(message),
        };
        assert!(queue.send(frame.expect("encodes")));
    }
    assert!(waiting.get() < 100, "the shared field is in memory once");
    let mut frames = FrameReader::new(input);
    for message in sent {
        let received: Message = frames.next().await.expect("a whole frame");
        assert!(received == message, "message {}", message.0);
    }
    assert_eq!(waiting.get(), 0);
}
