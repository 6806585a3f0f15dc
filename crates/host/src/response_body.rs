//! Bodies of responses to clients.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::connection::Phase;
use crate::stream_buffer::{MAX_PARTS, StreamBuffer};

quick_error! {
    /// Error that aborts a response. The connection is closed, so that the client does not take the
    /// response for complete.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// The response was interrupted before its end.
        Interrupted {
            display("the response was interrupted")
        }
    }
}

/// Capacity of the channel between the relay and the client connection, in chunks of the stream.
/// While the channel is full, nothing is read from the endpoint.
pub const STREAM_CHANNEL_CAPACITY: usize = 16;

/// Part of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes.
    Data(Bytes),
    /// The end of a complete stream.
    End,
}

/// Sender of the parts of a stream.
pub type PartSender = mpsc::Sender<Result<BodyPart, BodyError>>;

#[derive(Debug)]
enum Content {
    Full(Option<Bytes>),
    Stream(mpsc::Receiver<Result<BodyPart, BodyError>>, Option<Rc<StreamBuffer>>),
}

/// Body of a response. Notifies its connection when the response ends.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    /// Error that ended a stream and is yet to be returned.
    error: Option<BodyError>,
    /// Time until which the client waits for its end.
    deadline: Option<Instant>,
    phase: Option<Rc<Phase>>,
}

impl ResponseBody {
    /// Builds a body that is completely known.
    pub fn full(bytes: Bytes) -> Self {
        Self::new(Content::Full(Some(bytes)))
    }

    /// Builds a body that is sent as its parts arrive. It is interrupted if the sender is dropped without
    /// having sent the end, for example because its task failed.
    pub fn stream() -> (PartSender, Self) {
        let (tx, rx) = mpsc::channel(STREAM_CHANNEL_CAPACITY);
        (tx, Self::new(Content::Stream(rx, None)))
    }

    /// Like [`Self::stream`], with parts held in a buffer until the client takes them.
    pub fn buffered_stream(buffer: Rc<StreamBuffer>) -> (PartSender, Self) {
        let (tx, rx) = mpsc::channel(MAX_PARTS);
        (tx, Self::new(Content::Stream(rx, Some(buffer))))
    }

    fn new(content: Content) -> Self {
        Self { content, error: None, deadline: None, phase: None }
    }

    /// Sets the time until which the client waits for the end of the response.
    pub(crate) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Attaches the body to the connection that it is sent on.
    pub(crate) fn attach(&mut self, phase: Rc<Phase>) {
        if let Content::Stream(_, Some(buffer)) = &self.content {
            buffer.attach(&phase);
        }
        phase.set_response_deadline(self.deadline);
        self.phase = Some(phase);
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(phase) = &self.phase {
            phase.response_ended();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(err) = self.error.take() {
            if let Some(phase) = &self.phase {
                phase.response_interrupted();
            }
            return Poll::Ready(Some(Err(err)));
        }
        match &mut self.content {
            Content::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream(rx, buffer) => {
                let Poll::Ready(part) = rx.poll_recv(cx) else { return Poll::Pending };
                match part.unwrap_or(Err(BodyError::Interrupted)) {
                    Ok(BodyPart::Data(bytes)) => {
                        if let Some(buffer) = buffer {
                            buffer.take(bytes.len());
                        }
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Ok(BodyPart::End) => Poll::Ready(None),
                    Err(err) => {
                        // The HTTP library drops what it has buffered when a body fails, and sends it while
                        // the body is pending.
                        self.error = Some(err);
                        cx.waker().wake_by_ref();
                        Poll::Pending
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Full(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(..) => SizeHint::default(),
        }
    }
}
