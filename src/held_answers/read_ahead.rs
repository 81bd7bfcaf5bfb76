use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// The longest part that the HTTP library is given at once, in bytes: it keeps what it has until
/// that is sent.
const PART_BYTES: usize = 16 << 10;

/// What a part takes beside its bytes: two entries of the queue (it grows by doubling), the allocation of
/// the bytes, and that of their reference count, six words.
const PART_COST: usize = 2 * size_of::<Part>() + 2 * ALLOCATION_COST + 6 * size_of::<usize>();
/// What an allocation takes beside its bytes: a header, and what it is rounded up by.
const ALLOCATION_COST: usize = 2 * size_of::<usize>();

type Inner = Pin<Box<dyn Body<Data = Bytes, Error = io::Error> + Send>>;

/// A part of an answer. Its bytes stay in memory until the last of them is given away.
#[derive(Debug)]
struct Part {
    left: Bytes,
    length: usize,
}

/// An answer, and what was read of it before its caller takes it.
pub struct ReadAhead {
    /// `None` once it has ended.
    inner: Option<Inner>,
    parts: VecDeque<Part>,
    /// Bytes of all parts.
    bytes: usize,
    /// Why the answer broke off; it is told after the parts.
    broken: Option<io::Error>,
    /// Whether the HTTP library waits for the next part.
    is_awaited: bool,
}

impl ReadAhead {
    pub fn new<B>(inner: B) -> Self
    where
        B: Body<Data = Bytes, Error = io::Error> + Send + 'static,
    {
        let inner: Option<Inner> = Some(Box::pin(inner));
        Self { inner, parts: VecDeque::new(), bytes: 0, broken: None, is_awaited: false }
    }

    /// The memory that what is held takes, in bytes. The first part's own cost is left out, as the fixed cost
    /// of a connection is.
    pub fn memory(&self) -> usize {
        self.bytes + PART_COST * self.parts.len().saturating_sub(1)
    }

    /// Reads one part; ready without one at the end.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(inner) = &mut self.inner else { return Poll::Ready(()) };
        match ready!(inner.as_mut().poll_frame(cx)) {
            Some(Ok(frame)) => {
                let left = frame.into_data().unwrap_or_default();
                let length = left.len();
                self.bytes += length;
                self.parts.push_back(Part { left, length });
                if inner.is_end_stream() {
                    self.inner = None;
                }
            }
            Some(Err(error)) => {
                self.broken = Some(error);
                self.inner = None;
            }
            None => self.inner = None,
        }
        Poll::Ready(())
    }

    /// Reads what there is, until `bound` bytes are held.
    pub fn read_to(&mut self, bound: usize, cx: &mut Context<'_>) {
        let mut has_read = false;
        while self.inner.is_some() && self.memory() < bound && self.poll_read(cx).is_ready() {
            has_read = true;
        }
        if has_read && self.is_awaited {
            cx.waker().wake_by_ref();
        }
    }

    /// The next part for the HTTP library.
    pub fn poll_part(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.parts.is_empty() && self.inner.is_some() {
            self.is_awaited = self.poll_read(cx).is_pending();
            if self.is_awaited {
                return Poll::Pending;
            }
        }
        self.is_awaited = false;
        let Some(part) = self.parts.front_mut() else {
            return Poll::Ready(self.broken.take().map(Err));
        };
        let mut given = part.left.split_to(part.left.len().min(PART_BYTES));
        if part.length > PART_BYTES {
            // A slice would keep the whole part in memory until it is sent.
            given = Bytes::copy_from_slice(&given);
        }
        if part.left.is_empty() {
            self.bytes -= part.length;
            self.parts.pop_front();
            // An empty queue would keep the memory of the most parts that it had.
            if self.parts.is_empty() {
                self.parts = VecDeque::new();
            }
        }
        Poll::Ready(Some(Ok(Frame::data(given))))
    }

    /// Whether nothing is left to give.
    pub fn is_end(&self) -> bool {
        let is_read = self.inner.as_ref().is_none_or(|inner| inner.is_end_stream());
        is_read && self.parts.is_empty() && self.broken.is_none()
    }

    /// The bytes that are left to give, as far as they are known.
    pub fn size_hint(&self) -> SizeHint {
        let held: usize = self.parts.iter().map(|part| part.left.len()).sum();
        let inner = match &self.inner {
            Some(inner) => inner.size_hint(),
            None if self.broken.is_some() => SizeHint::default(),
            None => SizeHint::with_exact(0),
        };
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + held as u64);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + held as u64);
        }
        hint
    }
}
