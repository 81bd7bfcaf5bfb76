use crate::route::StreamItem;
use bytes::Bytes;
use futures::future::BoxFuture;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

/// A streamed answer's body. Its size hint stays unknown, so that it goes out in chunks: a hint
/// would be taken for the `Content-Length`.
pub struct StreamedBody {
    input: mpsc::Receiver<StreamItem>,
    gone: BoxFuture<'static, ()>,
    broken: bool,
}

impl StreamedBody {
    /// Wraps the caller's end of a relay; `gone` ends when the caller has left.
    pub fn new(input: mpsc::Receiver<StreamItem>, gone: BoxFuture<'static, ()>) -> Self {
        Self { input, gone, broken: false }
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
            Poll::Pending => match self.gone.as_mut().poll(cx) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => {
                    let error = io::Error::other("the caller has left");
                    Poll::Ready(Some(Err(error)))
                }
            },
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(StreamItem::Events(bytes))) => {
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Poll::Ready(Some(StreamItem::Abort(bytes))) => {
                self.broken = true;
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
