use crate::route::StreamItem;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

/// A streamed answer's body. Its size hint stays unknown, so that it goes out in chunks: a hint
/// would be taken for the `Content-Length`.
pub struct StreamedBody {
    input: mpsc::Receiver<StreamItem>,
    broken: bool,
}

impl StreamedBody {
    /// Wraps the caller's end of a relay.
    pub fn new(input: mpsc::Receiver<StreamItem>) -> Self {
        Self { input, broken: false }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.broken {
            let error = io::Error::other("the stream broke off");
            return Poll::Ready(Some(Err(error)));
        }
        match self.input.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(StreamItem::Events(bytes))) => {
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Poll::Ready(Some(StreamItem::Broken(bytes))) => {
                self.broken = true;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
