use super::CallerReader;
use super::read_ahead::ReadAhead;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

/// The body of an answer that is read ahead while its caller takes nothing.
pub struct HeldBody {
    answer: Arc<Mutex<ReadAhead>>,
    reader: Arc<CallerReader>,
}

impl HeldBody {
    pub(super) fn new(answer: Arc<Mutex<ReadAhead>>, reader: Arc<CallerReader>) -> Self {
        Self { answer, reader }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut answer = self.answer.lock().expect("answer lock");
        let polled = answer.poll_part(cx);
        self.reader.set_queued(answer.memory());
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.answer.lock().expect("answer lock").is_end()
    }

    fn size_hint(&self) -> SizeHint {
        self.answer.lock().expect("answer lock").size_hint()
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.reader.answer_ended(&self.answer);
    }
}
