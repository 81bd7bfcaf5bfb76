use crate::route::StreamItem;
use bytes::Bytes;
use futures::future::BoxFuture;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

/// The body of a streamed answer. Its size hint is unknown, so that it is sent with chunked
/// transfer encoding: the HTTP library would send a known size as `Content-Length`.
pub struct StreamedBody {
    items: mpsc::Receiver<StreamItem>,
    disconnected: BoxFuture<'static, ()>,
    aborted: bool,
}

impl StreamedBody {
    /// Creates a body of the items that a relay sends. The body fails when `disconnected`
    /// completes, which means that the caller has closed its connection.
    pub fn new(items: mpsc::Receiver<StreamItem>, disconnected: BoxFuture<'static, ()>) -> Self {
        Self { items, disconnected, aborted: false }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.aborted {
            let error = io::Error::other("the answer stream was aborted");
            return Poll::Ready(Some(Err(error)));
        }
        match self.items.poll_recv(cx) {
            Poll::Pending => match self.disconnected.as_mut().poll(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => {
                    let error = io::Error::other("the caller has disconnected");
                    Poll::Ready(Some(Err(error)))
                }
            },
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(StreamItem::Events(bytes))) => {
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Poll::Ready(Some(StreamItem::Abort(bytes))) => {
                self.aborted = true;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
