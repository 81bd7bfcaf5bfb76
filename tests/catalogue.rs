//! docs/EVENTS.md lists exactly the events of the code, with their numbers and fields.

use samphireshift::event::Event;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;

/// One row of the table in docs/EVENTS.md.
struct Row {
    number: u16,
    name: String,
    fields: Vec<(String, String)>,
}

fn documented_events() -> Vec<Row> {
    let text = include_str!("../docs/EVENTS.md");
    text.lines().filter(|line| line.starts_with("| ")).filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<Row> {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let number = cells[0].parse().ok()?;
    assert!(cells.len() == 5 && cells.iter().all(|cell| !cell.is_empty()), "{line}");
    let fields = cells[2].split(", ").filter(|field| *field != "none");
    let field = |text: &str| {
        let (name, kind) = text.split_once(' ').expect("a field has a name and a type");
        (name.trim_matches('`').to_owned(), kind.to_owned())
    };
    let name = cells[1].trim_matches('`').to_owned();
    Some(Row { number, name, fields: fields.map(field).collect() })
}

/// A sample value of a documented type, whose unit may follow in brackets.
fn sample(kind: &str) -> Value {
    match kind.split(" (").next().unwrap_or(kind) {
        "text" => json!("a"),
        "number" => json!(7),
        "truth" => json!(true),
        "fraction" => json!(0.5),
        "request" => json!("000000000000000000000000000000ff"),
        "version" => json!("m/v"),
        other => panic!("unknown type '{other}' in docs/EVENTS.md"),
    }
}

/// The names of all events, from serde's error message for an unknown one.
fn names_in_code() -> BTreeSet<String> {
    let error = serde_json::from_value::<Event>(json!({ "name": "" })).unwrap_err().to_string();
    let quoted = error.split('`').skip(1).step_by(2);
    quoted.filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

#[test]
fn exactly_the_events_of_the_code_are_documented() {
    let documented: BTreeSet<String> =
        documented_events().into_iter().map(|row| row.name).collect();
    assert_eq!(documented, names_in_code(), "left: docs/EVENTS.md, right: code");
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = documented_events().iter().map(|row| row.number).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}

#[test]
fn each_event_has_the_documented_number_and_fields() {
    for Row { number, name, fields } in documented_events() {
        let mut body: Map<String, Value> =
            fields.iter().map(|(field, kind)| (field.clone(), sample(kind))).collect();
        body.insert("name".to_owned(), json!(name));
        let event: Event = serde_json::from_value(Value::Object(body.clone()))
            .unwrap_or_else(|error| panic!("{name}: {error}; see docs/EVENTS.md"));
        assert_eq!(event.number(), number, "{name}");
        assert_eq!(serde_json::to_value(&event).unwrap(), Value::Object(body), "{name}");
    }
}
