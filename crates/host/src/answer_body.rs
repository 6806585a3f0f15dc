//! Bodies of answers to callers.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use quick_error::quick_error;
use tokio::sync::mpsc;

use crate::connection::Phase;

quick_error! {
    /// The answer broke off. The connection is closed, so that it does not look complete.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BrokenAnswer {
        /// The source of the answer ended before its end.
        BrokenOff {
            display("the answer broke off")
        }
    }
}

/// Parts of a stream that wait for a slow caller; the endpoint waits with them.
pub const STREAM_PARTS: usize = 16;

#[derive(Debug)]
enum Content {
    Whole(Option<Bytes>),
    Stream(mpsc::Receiver<Result<Bytes, BrokenAnswer>>),
}

/// The body of an answer. Tells its connection when the answer has ended.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    phase: Option<Rc<Phase>>,
}

impl AnswerBody {
    /// Builds a body that is whole.
    pub fn whole(bytes: Bytes) -> Self {
        Self { content: Content::Whole(Some(bytes)), phase: None }
    }

    /// Builds a body that is sent as its parts arrive. It is complete when the sender is dropped
    /// without an error.
    pub fn stream() -> (mpsc::Sender<Result<Bytes, BrokenAnswer>>, Self) {
        let (tx, rx) = mpsc::channel(STREAM_PARTS);
        (tx, Self { content: Content::Stream(rx), phase: None })
    }

    /// Ties the body to the connection that it is sent on.
    pub(crate) fn tie(&mut self, phase: Rc<Phase>) {
        self.phase = Some(phase);
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(phase) = &self.phase {
            phase.answered();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match &mut self.content {
            Content::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream(rx) => {
                rx.poll_recv(cx).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}
