//! Memory of events that clients have not taken.

use std::time::Duration;

use camphorloft_host::stream_buffer::{StreamBuffer, StreamMemory};

const MAX_PAUSE: Duration = Duration::from_millis(50);

/// Returns the number of parts of 1,000 bytes that are added until there is no room.
async fn fill(buffer: &StreamBuffer) -> usize {
    for number in 0.. {
        if !buffer.room().await {
            return number;
        }
        buffer.add(1_000);
    }
    unreachable!("the buffer is bounded")
}

#[tokio::test]
async fn stream_of_a_client_that_takes_nothing_is_bounded_and_ends() {
    let memory = StreamMemory::new(1_000_000, MAX_PAUSE);
    let buffer = StreamBuffer::new(&memory);
    assert_eq!(fill(&buffer).await, 66);
    assert_eq!(memory.used(), 66_000);
    buffer.take(1_000);
    assert!(buffer.room().await, "the client takes events again");
    drop(buffer);
    assert_eq!(memory.used(), 0);
}

/// Slow clients would otherwise stop the streams of all others.
#[tokio::test]
async fn slow_clients_together_are_bounded_and_leave_some_room_to_others() {
    let memory = StreamMemory::new(100_000, MAX_PAUSE);
    let slow: Vec<_> = (0..5).map(|_| StreamBuffer::new(&memory)).collect();
    for buffer in &slow {
        fill(buffer).await;
    }
    let other = StreamBuffer::new(&memory);
    assert_eq!(fill(&other).await, 3);
    assert!(memory.used() <= 100_000 + 6 * 3_000, "{} bytes", memory.used());
}
