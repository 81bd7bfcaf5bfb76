use super::held_body::HeldBody;
use super::read_ahead::ReadAhead;
use super::reader_bounds::ReaderBounds;
use crate::backend::{ByteBudget, ByteShare};
use crate::policy::ReaderLoad;
use bytes::Bytes;
use futures::task::AtomicWaker;
use http_body::Body;
use std::io;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

/// The call that a connection answers.
#[derive(Default)]
struct CurrentCall {
    id: String,
    answer: Option<Arc<Mutex<ReadAhead>>>,
}

/// A caller's connection as a reader of answers: what is held for it, and when it last took a byte.
pub struct CallerReader {
    number: u64,
    budget: Arc<ByteBudget>,
    bounds: ReaderBounds,
    call: Mutex<CurrentCall>,
    /// What is held of the answer above the socket, in bytes: its share at first, then what was read ahead.
    queued: AtomicUsize,
    /// Whether the caller does not take the next byte now.
    is_blocked: AtomicBool,
    /// What the kernel may hold for the caller, as of when it last took nothing.
    send_buffer: AtomicUsize,
    /// Whether the caller has read on since its answer first had to wait for it.
    reads: AtomicBool,
    /// What counts towards the budget. Changed under its lock only.
    held: AtomicUsize,
    taken_at: Mutex<Instant>,
    is_ended: AtomicBool,
    waker: AtomicWaker,
}

impl std::fmt::Debug for CallerReader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerReader").field("load", &self.load()).finish_non_exhaustive()
    }
}

impl CallerReader {
    /// A new connection, which counts towards `budget`.
    pub fn new(budget: &Arc<ByteBudget>, bounds: ReaderBounds) -> Arc<Self> {
        let number = budget.readers().number();
        let reader = Arc::new(Self {
            number,
            budget: budget.clone(),
            bounds,
            call: Mutex::default(),
            queued: AtomicUsize::new(0),
            is_blocked: AtomicBool::new(false),
            send_buffer: AtomicUsize::new(0),
            reads: AtomicBool::new(false),
            held: AtomicUsize::new(0),
            taken_at: Mutex::new(Instant::now()),
            is_ended: AtomicBool::new(false),
            waker: AtomicWaker::new(),
        });
        budget.readers().add(number, Arc::downgrade(&reader));
        reader
    }

    /// The body of an answer to the call with this id, which is read ahead while the caller takes
    /// nothing. What was read of it already counts as `share`, which this connection takes over.
    pub fn hold<B>(self: &Arc<Self>, id: &str, body: B, share: Option<ByteShare>) -> HeldBody
    where
        B: Body<Data = Bytes, Error = io::Error> + Send + 'static,
    {
        let answer = Arc::new(Mutex::new(ReadAhead::new(body)));
        let call = CurrentCall { id: id.to_owned(), answer: Some(answer.clone()) };
        *self.call.lock().expect("call lock") = call;
        self.reads.store(false, Ordering::Relaxed);
        self.record_taken();
        self.set_queued(0);
        if let Some(share) = share {
            self.queued.store(share.bytes(), Ordering::Relaxed);
            self.budget.hand_over(share, &self.held);
        }
        HeldBody::new(answer, self.clone())
    }

    /// What the caller costs now.
    pub fn load(&self) -> ReaderLoad {
        let idle = self.taken_at.lock().expect("time lock").elapsed();
        let reads = self.reads.load(Ordering::Relaxed);
        ReaderLoad { held: self.held.load(Ordering::Relaxed), idle, reads }
    }

    /// Whether the caller has been ended, so that its connection is to be reset.
    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::Acquire)
    }

    /// The kernel has taken bytes for the caller, or takes none: it then holds `send_buffer` bytes,
    /// which it may choose anew each time.
    pub fn record_write<F>(&self, written: &Poll<io::Result<usize>>, send_buffer: F)
    where
        F: FnOnce() -> usize,
    {
        let is_blocked = written.is_pending();
        if !is_blocked {
            self.record_taken();
        } else if !self.is_blocked.load(Ordering::Relaxed) {
            self.send_buffer.store(send_buffer(), Ordering::Relaxed);
        }
        if self.is_blocked.swap(is_blocked, Ordering::Relaxed) != is_blocked {
            self.reads.fetch_or(!is_blocked, Ordering::Relaxed);
            self.count();
        }
    }

    fn record_taken(&self) {
        *self.taken_at.lock().expect("time lock") = Instant::now();
    }

    pub(super) fn set_queued(&self, bytes: usize) {
        if self.queued.swap(bytes, Ordering::Relaxed) != bytes {
            self.count();
        }
    }

    /// The HTTP library has all of an answer, or wants no more of it.
    pub(super) fn answer_ended(&self, answer: &Arc<Mutex<ReadAhead>>) {
        let mut call = self.call.lock().expect("call lock");
        if call.answer.as_ref().is_some_and(|current| Arc::ptr_eq(current, answer)) {
            let ended = call.answer.take();
            drop(call);
            drop(ended);
            self.set_queued(0);
        }
    }

    /// Counts what is held towards the budget; the slowest callers end if that is used up.
    fn count(&self) {
        if self.is_ended() {
            return;
        }
        let is_blocked = self.is_blocked.load(Ordering::Relaxed);
        let send_buffer = self.send_buffer.load(Ordering::Relaxed);
        let below = if is_blocked { send_buffer + self.bounds.write_buffer } else { 0 };
        let held = self.queued.load(Ordering::Relaxed) + below;
        if held > 0 && self.held.load(Ordering::Relaxed) == 0 {
            // It was offered nothing until now.
            self.record_taken();
        }
        self.budget.count(&self.held, held);
    }

    /// Ends the caller: its bytes no longer count, as its connection is about to be reset.
    pub(super) fn end(&self, load: ReaderLoad) {
        if self.is_ended.swap(true, Ordering::AcqRel) {
            return;
        }
        let held = self.budget.give_back(&self.held);
        let cause = load.cause().as_str();
        metrics::counter!("samphireshift_slow_callers_ended_total", "cause" => cause).increment(1);
        log::info!(
            "call {}: its caller reads too slowly and is ended: cause {cause}, {held} bytes held, \
             none taken for {} ms, limit of all {} bytes",
            self.call.lock().expect("call lock").id,
            load.idle.as_millis(),
            self.budget.limit()
        );
        self.waker.wake();
    }

    /// Runs `serving`, the server of the connection, and reads its answers ahead meanwhile. `None`
    /// if the caller is ended.
    pub async fn serve<F>(&self, serving: F) -> Option<F::Output>
    where
        F: Future,
    {
        let mut serving = pin!(serving);
        std::future::poll_fn(|cx| {
            self.waker.register(cx.waker());
            if self.is_ended() {
                return Poll::Ready(None);
            }
            if let Poll::Ready(served) = serving.as_mut().poll(cx) {
                return Poll::Ready(Some(served));
            }
            self.read_ahead(cx);
            if self.is_ended() { Poll::Ready(None) } else { Poll::Pending }
        })
        .await
    }

    /// Reads ahead, if the HTTP library does not read as the caller takes nothing.
    fn read_ahead(&self, cx: &mut Context<'_>) {
        if !self.is_blocked.load(Ordering::Relaxed) {
            return;
        }
        let Some(answer) = self.call.lock().expect("call lock").answer.clone() else { return };
        let mut answer = answer.lock().expect("answer lock");
        answer.read_to(self.bounds.ahead, cx);
        self.set_queued(answer.memory());
    }
}

impl Drop for CallerReader {
    fn drop(&mut self) {
        self.budget.give_back(&self.held);
        self.budget.readers().remove(self.number);
    }
}
