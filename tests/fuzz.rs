//! Fuzz tests: random and mutated input must not make a parser of external data panic, or
//! allocate more than the input justifies.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use samphireshift::backend::{ChatStreamParser, LoadReport, Usage};
use samphireshift::consensus::MemberId;
use samphireshift::control::{ControlCommand, Ticket};
use samphireshift::distribution::{Change, ConfigEntry, ConfigKey};
use samphireshift::event::{EventQuery, EventRecord, Timestamp};
use samphireshift::group::Envelope;
use samphireshift::ledger::LedgerCommand;
use samphireshift::name::{DataCentre, RequestId, VersionKey, VmName};
use samphireshift::peer::{
    EventResponse, LeaseRequest, LeaseResponse, NodeStatus, OperatorRequest, OperatorResponse,
    PeerIdentity, RenewRequest, RenewResponse, SubmitResponse,
};
use samphireshift::settings::{Settings, parse_duration, parse_size};
use samphireshift::storage::{DataFolder, StorageError};
use samphireshift::vms::Vm;
use serde_json::json;

/// Valid input of the text parsers, as a base for mutation.
const TEXTS: [&str; 7] = [
    "[vm]\nname = a\n[lease]\nduration = 2s\n",
    r#"{"number":1,"author":"a","versions":[{"model":"m","version":"v","pool":"p","state":"open","quality":0.5,"price":{"prompt":1,"answer":1}}]}"#,
    r#"{"ticket":7,"since":1,"after":{"a":{"millis":1,"counter":2}}}"#,
    r#"[{"vm":"a","address":"10.0.0.1:1","data_centre":"d","pool":"p","state":"live"}]"#,
    r#"{"running":1,"waiting":2,"slots":3,"memory":0.5,"versions":["m/v"]}"#,
    r#"{"usage":{"prompt_tokens":1,"completion_tokens":2}}"#,
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n",
];

fn fixed_seed(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

/// One of `TEXTS` with up to five changes: a byte replaced, the end cut off, or the tail repeated.
fn mutated_text() -> impl Strategy<Value = Vec<u8>> {
    let changes = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3_u8), 0..6);
    (prop::sample::select(&TEXTS[..]), changes).prop_map(|(text, changes)| {
        let mut bytes = text.as_bytes().to_vec();
        for (at, byte, kind) in changes {
            let at = at.index(bytes.len() + 1).min(bytes.len().saturating_sub(1));
            match kind {
                0 if !bytes.is_empty() => bytes[at] = byte,
                1 => bytes.truncate(at),
                _ => bytes.extend_from_within(at..),
            }
        }
        bytes
    })
}

fn parse_as_texts(bytes: &[u8]) {
    // The results do not matter: each call must return without a panic.
    let text = String::from_utf8_lossy(bytes);
    let _ = Settings::parse("fuzz", &text);
    let _ = (parse_duration(&text), parse_size(&text));
    let _ = (VersionKey::parse(&text), RequestId::parse(&text));
    let _ = serde_json::from_slice::<Ticket>(bytes);
    let _ = serde_json::from_slice::<EventQuery>(bytes);
    let _ = serde_json::from_slice::<EventRecord>(bytes);
    let _ = serde_json::from_slice::<Vec<Vm>>(bytes);
    let _ = serde_json::from_slice::<LoadReport>(bytes);
    let _ = serde_json::from_slice::<Usage>(bytes);
}

fn decode_as_messages(bytes: &[u8]) {
    let _ = postcard::from_bytes::<(Timestamp, Vec<Envelope>)>(bytes);
    let _ = postcard::from_bytes::<PeerIdentity>(bytes);
    let _ = postcard::from_bytes::<LeaseRequest>(bytes);
    let _ = postcard::from_bytes::<LeaseResponse>(bytes);
    let _ = postcard::from_bytes::<RenewRequest>(bytes);
    let _ = postcard::from_bytes::<RenewResponse>(bytes);
    let _ = postcard::from_bytes::<Change<ConfigKey, ConfigEntry>>(bytes);
    let _ = postcard::from_bytes::<Change<VmName, Vm>>(bytes);
    let _ = postcard::from_bytes::<SubmitResponse>(bytes);
    let _ = postcard::from_bytes::<OperatorRequest>(bytes);
    let _ = postcard::from_bytes::<OperatorResponse>(bytes);
    let _ = postcard::from_bytes::<NodeStatus>(bytes);
    let _ = postcard::from_bytes::<EventQuery>(bytes);
    let _ = postcard::from_bytes::<EventResponse>(bytes);
    let _ = postcard::from_bytes::<ControlCommand>(bytes);
    let _ = postcard::from_bytes::<LedgerCommand>(bytes);
}

/// Parses a chat stream that arrives in `pieces`: the bytes of its events and whether the stream
/// ended; `None` on a parse error.
fn parse_stream(pieces: &[&[u8]]) -> Option<(Vec<u8>, bool)> {
    let mut stream = ChatStreamParser::default();
    let mut events = Vec::new();
    for piece in pieces {
        let parsed = stream.push(piece).into_iter().next()?;
        events.extend_from_slice(&parsed.events);
        if parsed.done {
            return Some((events, true));
        }
    }
    Some((events, false))
}

proptest! {
    #![proptest_config(fixed_seed(512))]

    #[test]
    fn random_texts_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        parse_as_texts(&bytes);
    }

    #[test]
    fn mutated_texts_do_not_panic(bytes in mutated_text()) {
        parse_as_texts(&bytes);
        let _ = parse_stream(&[&bytes]);
    }

    #[test]
    fn names_survive_a_round_trip(model in "[^/]{1,20}", version in ".{1,20}", id: u128) {
        let text = format!("{model}/{version}");
        prop_assert_eq!(VersionKey::parse(&text).map(|key| key.to_string()), Some(text));
        let text = format!("{id:032x}");
        prop_assert_eq!(RequestId::parse(&text).map(|id| id.to_string()), Some(text));
    }

    #[test]
    fn values_with_units_are_exact_or_rejected(number: u64, unit in "(ms|s|m|h|B|KiB|MiB|d|)") {
        let text = format!("{number}{unit}");
        let factor = match unit.as_str() { "ms" => 1, "s" => 1_000, "m" => 60_000, "h" => 3_600_000, _ => 0 };
        let expected = number.checked_mul(factor).filter(|_| factor > 0);
        prop_assert_eq!(parse_duration(&text).map(|d| d.as_millis()), expected.map(u128::from));
        let factor = match unit.as_str() { "B" => 1, "KiB" => 1 << 10, "MiB" => 1 << 20, _ => 0 };
        let expected = number.checked_mul(factor).filter(|_| factor > 0);
        prop_assert_eq!(parse_size(&text).map(|n| n as u64), expected);
    }

    #[test]
    fn random_messages_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_as_messages(&bytes);
    }

    /// A length prefix larger than the message must not make the decoder allocate that much.
    #[test]
    fn false_length_prefixes_do_not_allocate(head in prop::collection::vec(any::<u8>(), 0..8), tail in 0..16_usize) {
        let mut bytes = head;
        bytes.extend([0xff; 9]);
        bytes.push(0x01);
        bytes.extend(vec![0x41; tail]);
        decode_as_messages(&bytes);
    }

    /// The parsed events do not depend on how the stream of an engine is split into packets.
    #[test]
    fn packet_boundaries_do_not_change_a_stream(events in 0..12_usize, cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..8)) {
        let token = |i| format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{i}\"}}}}]}}\n\n");
        let mut text: String = (0..events).map(token).collect();
        let content = text.clone();
        text.push_str("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n");
        let mut boundaries: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len())).collect();
        boundaries.extend([0, text.len()]);
        boundaries.sort_unstable();
        let pieces: Vec<&[u8]> = boundaries.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]).collect();
        prop_assert_eq!(parse_stream(&pieces), Some((content.into_bytes(), true)));
    }
}

proptest! {
    #![proptest_config(fixed_seed(64))]

    /// A log of random bytes is opened, truncated or reported as corrupt.
    #[test]
    fn random_logs_are_opened_or_reported_as_corrupt(bytes in prop::collection::vec(any::<u8>(), 0..400), salt: u64) {
        let path = std::env::temp_dir().join(format!("samphireshift-fuzz-{}-{salt}", std::process::id()));
        let opened = open_log(&path, &bytes);
        std::fs::remove_dir_all(&path).unwrap();
        prop_assert!(matches!(opened, Ok(()) | Err(StorageError::Corrupt { .. })), "{:?}", opened);
    }
}

fn open_log(path: &std::path::Path, bytes: &[u8]) -> Result<(), StorageError> {
    std::fs::create_dir_all(path.join("control")).unwrap();
    std::fs::write(path.join("control").join("log"), bytes).unwrap();
    DataFolder::open(path, &VmName::new("a"))?.open_group("control").map(|_| ())
}

#[test]
fn messages_survive_a_round_trip() {
    let identity = PeerIdentity {
        vm: VmName::new("a"),
        member: MemberId(7),
        run: 9,
        data_centre: DataCentre::new("d"),
        address: ([127, 0, 0, 1], 1).into(),
        durable: true,
        cluster: Some(u128::MAX),
    };
    let bytes = postcard::to_stdvec(&(Timestamp { millis: 1, counter: 2 }, &identity)).unwrap();
    let (_, read): (Timestamp, PeerIdentity) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, identity);
    let query = json!({ "ticket": 7, "unknown": 1 });
    assert!(
        serde_json::from_value::<EventQuery>(query).is_err(),
        "an unknown filter must be rejected"
    );
}
