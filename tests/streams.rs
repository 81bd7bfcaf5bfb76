//! Event streams: the parser against a reference implementation, and a long stream through a
//! daemon.

mod env;

use env::{Fleet, FleetSpec, ticket};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;
use samphireshift::backend::{ChatStreamParser, StreamError, Usage};
use serde_json::{Value, json};

/// Combined output of the parser for a whole stream.
#[derive(Debug, Default, PartialEq)]
struct Total {
    events: String,
    final_events: String,
    tokens: u64,
    usage: Option<Usage>,
    done: bool,
}

fn push_all<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Result<Total, StreamError> {
    let mut stream = ChatStreamParser::default();
    let mut total = Total::default();
    for piece in pieces {
        let output = stream.push(piece)?;
        total.events.push_str(std::str::from_utf8(&output.events).unwrap());
        total.final_events.push_str(std::str::from_utf8(&output.final_events).unwrap());
        total.tokens += output.tokens;
        total.usage = output.usage.or(total.usage);
        total.done = output.done;
    }
    Ok(total)
}

/// Reference implementation: splits the whole text and parses each event as plain JSON.
fn parse_reference(text: &str) -> Total {
    let mut total = Total::default();
    let text = text.replace("\r\n", "\n");
    let Some((whole, _)) = text.rsplit_once("\n\n") else { return total };
    for event in whole.split("\n\n") {
        let lines = event.split('\n').filter_map(|line| line.strip_prefix("data:"));
        let data: Vec<&str> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
        match data.join("\n").as_str() {
            "" => continue,
            "[DONE]" => {
                total.done = true;
                break;
            }
            joined => add_chunk(&mut total, joined, &data),
        }
    }
    total
}

fn add_chunk(total: &mut Total, joined: &str, data: &[&str]) {
    let chunk: Value = serde_json::from_str(joined).unwrap();
    let shown: String =
        data.iter().map(|line| format!("data: {line}\n")).collect::<String>() + "\n";
    let choice = &chunk["choices"][0];
    if chunk["usage"].is_object() {
        total.usage = serde_json::from_value(chunk["usage"].clone()).ok();
    }
    let content = choice["delta"]["content"].as_str().is_some_and(|text| !text.is_empty());
    let ends = !choice["finish_reason"].is_null() || (chunk["usage"].is_object() && !content);
    match ends {
        true => total.final_events.push_str(&shown),
        false => {
            total.events.push_str(&shown);
            total.tokens += u64::from(content);
        }
    }
}

const TOKEN: &str = r#"{"choices":[{"delta":{"content":"a"},"finish_reason":null}]}"#;
const QUOTED: &str =
    r#"{"choices":[{"delta":{"content":"\"usage\":{\"prompt_tokens\":9} \n\n"}}]}"#;
const NULL_USAGE: &str = r#"{"choices":[{"delta":{"content":"b"}}],"usage":null}"#;
const ROLE: &str = r#"{"choices":[{"delta":{"role":"assistant","content":""}}]}"#;
const FINISH: &str = r#"{"choices":[{"delta":{},"finish_reason":"stop"}]}"#;
const USAGE: &str = r#"{"choices":[], "usage" : {"prompt_tokens": 3, "completion_tokens": 2}}"#;
const RUNNING_USAGE: &str =
    r#"{"choices":[{"delta":{"content":"c"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}"#;
const DONE: &str = "[DONE]";

/// An event in one of the encodings that engines send.
fn event() -> impl Strategy<Value = String> {
    let data = [TOKEN, TOKEN, QUOTED, NULL_USAGE, ROLE, FINISH, USAGE, RUNNING_USAGE, DONE];
    let form = |(data, form): (&str, usize)| match form {
        0 => format!("data: {data}\n\n"),
        1 => format!("data:{data}\r\n\r\n"),
        2 => format!(": keep-alive\n\ndata: {data}\n\n"),
        3 => format!("event: message\nid: 7\ndata: {data}\r\n\n"),
        _ => format!("data: {}\n\n", data.replacen(',', ",\ndata: ", 1)),
    };
    (proptest::sample::select(data.to_vec()), 0..5_usize).prop_map(form)
}

#[test]
fn streams_split_anywhere_parse_like_the_reference() {
    let config = Config { cases: 512, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let events = prop::collection::vec(event(), 0..12);
    let cuts = prop::collection::vec(any::<prop::sample::Index>(), 0..20);
    let run = TestRunner::new_with_rng(config, rng).run(&(events, cuts), |(events, cuts)| {
        let text = events.concat();
        let mut places: Vec<usize> = cuts.iter().map(|cut| cut.index(text.len() + 1)).collect();
        places.extend([0, text.len()]);
        places.sort_unstable();
        let pieces = places.windows(2).map(|two| &text.as_bytes()[two[0]..two[1]]);
        prop_assert_eq!(push_all(pieces), Ok(parse_reference(&text)));
        Ok(())
    });
    run.unwrap();
}

#[rstest]
#[case::content_after_usage(&[RUNNING_USAGE, TOKEN, TOKEN, DONE], 3, true)]
#[case::a_role_is_not_a_token(&[ROLE, TOKEN, DONE], 1, true)]
#[case::text_that_looks_like_usage(&[QUOTED, DONE], 1, true)]
#[case::nothing_counts_after_done(&[TOKEN, DONE, TOKEN], 1, true)]
#[case::without_done(&[TOKEN, FINISH], 1, false)]
fn events_are_counted(#[case] events: &[&str], #[case] tokens: u64, #[case] done: bool) {
    let text: String = events.iter().map(|data| format!("data: {data}\n\n")).collect();
    let total = push_all([text.as_bytes()]).unwrap();
    assert_eq!((total.tokens, total.done), (tokens, done));
}

#[rstest]
#[case::cut_json("data: {\"choices\":[{\"del\n\n", StreamError::MalformedEvent)]
#[case::not_an_object("data: 7\n\n", StreamError::MalformedEvent)]
#[case::engine_error(
    "data: {\"error\":{\"message\":\"out of memory\"}}\n\n",
    StreamError::EngineError
)]
#[case::unbounded_event(&"data: x".repeat(200_000), StreamError::EventTooLarge)]
fn an_invalid_event_ends_the_stream_with_an_error(#[case] text: &str, #[case] error: StreamError) {
    assert_eq!(push_all([text.as_bytes()]), Err(error));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_stream_arrives_complete() {
    let spec = FleetSpec {
        durable: vec![true],
        cheap: vec![vec!["--versions=cheap/v1", "--tokens=20000"]],
        ..FleetSpec::default()
    };
    let fleet = Fleet::start(&spec).await;
    fleet.apply(&ticket::initial(1)).await;
    let answer = fleet.chat(0, &[], &json!({ "stream": true, "messages": [] })).await;
    let expected: String = (0..20_000).map(|n| format!("word{n} ")).collect();
    assert!(answer.streamed_text() == Some(expected), "{} bytes arrived", answer.body.len());
    let bills = fleet.operate(0, "GET", "/v1/bills", &Value::Null).await.json();
    assert_eq!(bills[0][1]["answer"], 20_000, "{bills}");
}
