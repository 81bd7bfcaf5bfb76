//! Answers that are held for callers that do not read: what they take counts, without gaps.

use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use samphireshift::backend::{ByteBudget, GatheredBytes};
use samphireshift::held_answers::{CallerReader, ReaderBounds};
use std::io;
use std::sync::Arc;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const BOUNDS: ReaderBounds = ReaderBounds { ahead: 256 * KIB, write_buffer: 16 * KIB };

fn whole(bytes: usize) -> impl Body<Data = Bytes, Error = io::Error> + Send + 'static {
    Full::new(Bytes::from(vec![b'x'; bytes])).map_err(|never| match never {})
}

/// Guards against room that another call takes while an answer goes from its call to its caller.
#[rstest]
#[case::small(10 * KIB)]
#[case::just_free(64 * KIB)]
#[case::all_there_is(MIB)]
#[tokio::test]
async fn an_answer_keeps_its_room_until_its_caller_has_it(#[case] bytes: usize) {
    let budget = ByteBudget::new(MIB);
    let reader = CallerReader::new(&budget, BOUNDS);
    let mut share = budget.share();
    assert!(share.resize(bytes));
    let mut body = reader.hold("call", whole(bytes), Some(share));
    assert_eq!((budget.held(), reader.load().held), (bytes, bytes));
    let rest = (MIB - bytes).max(64 * KIB);
    assert!(!budget.share().resize(rest + 1), "its room is taken");
    let mut left = bytes;
    while let Some(part) = body.frame().await {
        left -= part.unwrap().into_data().unwrap().len();
        assert!(left == 0 || budget.held() >= bytes, "{} of {bytes} count", budget.held());
    }
    assert_eq!((left, budget.held()), (0, 0));
    drop(body);
    drop(reader);
    assert_eq!(budget.held(), 0);
}

/// Guards against room that is lost or given back twice where a caller ends meanwhile.
#[tokio::test]
async fn room_is_given_back_once() {
    let budget = ByteBudget::new(MIB);
    let reader = CallerReader::new(&budget, BOUNDS);
    for _ in 0..3 {
        let mut share = budget.share();
        assert!(share.resize(MIB));
        drop(reader.hold("call", whole(MIB), Some(share)));
        assert_eq!(budget.held(), 0);
    }
    let readers: Vec<Arc<CallerReader>> =
        (0..20).map(|_| CallerReader::new(&budget, BOUNDS)).collect();
    let hold = |reader: &Arc<CallerReader>| {
        let mut share = budget.share();
        assert!(share.resize(64 * KIB), "a small share is always granted");
        reader.hold("call", whole(64 * KIB), Some(share))
    };
    let bodies: Vec<_> = readers.iter().map(hold).collect();
    let ended = readers.iter().filter(|reader| reader.is_ended()).count();
    assert_eq!((ended, budget.held()), (4, MIB), "20 of 64 KiB are four too many");
    drop(bodies);
    drop(readers);
    assert_eq!(budget.held(), 0);
}

/// Guards against an answer that grows although there is no room for it.
#[rstest]
#[case::by_little(16 * KIB, 64 * KIB)]
#[case::by_much(16 * KIB, 200 * KIB)]
#[tokio::test]
async fn an_answer_without_room_does_not_grow(#[case] first: usize, #[case] second: usize) {
    let budget = ByteBudget::new(MIB);
    let mut others = budget.share();
    assert!(others.resize(MIB));
    let mut share = budget.share();
    let mut whole = GatheredBytes::with_capacity(0, &mut share).await.unwrap();
    whole.push(&vec![b'x'; first]).await.expect("a small share is always granted");
    let pushed = whole.push(&vec![b'x'; second]).await;
    assert!(pushed.is_err() && whole.capacity() <= first, "{} bytes", whole.capacity());
}

/// Guards against memory beyond what counts, as answers of unknown length grow (memory over the
/// limit).
#[rstest]
#[case::as_they_arrive(16 * KIB, 3 * MIB, 32 * MIB)]
#[case::odd_parts(1_013, MIB, 32 * MIB)]
#[case::hardly_any_room(16 * KIB, MIB, 2 * MIB + 100 * KIB)]
#[tokio::test]
async fn all_the_memory_of_a_growing_answer_counts(
    #[case] part: usize,
    #[case] bytes: usize,
    #[case] limit: usize,
) {
    let budget = ByteBudget::new(limit);
    let mut share = budget.share();
    let mut whole = GatheredBytes::with_capacity(0, &mut share).await.unwrap();
    while whole.len() + part <= bytes {
        whole.push(&vec![b'x'; part]).await.expect("there is room");
        assert!(whole.capacity() <= budget.held(), "{} count", budget.held());
    }
    let length = whole.len();
    let whole = whole.finish();
    assert_eq!((whole.len(), budget.held()), (length, length));
    let allocated = whole.try_into_mut().expect("nobody else has it").capacity();
    assert_eq!(allocated, length);
}
