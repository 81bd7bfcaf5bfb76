//! docs/EVENTS.md holds every event of the code with its number and fields, and no other.

use samphireshift::event::Event;
use serde_json::{Map, Value, json};
use std::collections::BTreeSet;

/// One row of the catalogue.
struct Row {
    number: u16,
    name: String,
    fields: Vec<(String, String)>,
}

fn rows() -> Vec<Row> {
    let text = include_str!("../docs/EVENTS.md");
    text.lines().filter(|line| line.starts_with("| ")).filter_map(row).collect()
}

fn row(line: &str) -> Option<Row> {
    let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
    let number = cells[0].parse().ok()?;
    assert!(cells.len() == 5 && cells.iter().all(|cell| !cell.is_empty()), "{line}");
    let fields = cells[2].split(", ").filter(|field| *field != "none");
    let field = |text: &str| {
        let (name, kind) = text.split_once(' ').expect("a field's name and type");
        (name.trim_matches('`').to_owned(), kind.to_owned())
    };
    let name = cells[1].trim_matches('`').to_owned();
    Some(Row { number, name, fields: fields.map(field).collect() })
}

/// A value of a documented type; what stands in brackets is its unit.
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

/// The names of all events, as serde lists them to whoever gives an unknown one.
fn names_in_code() -> BTreeSet<String> {
    let error = serde_json::from_value::<Event>(json!({ "name": "" })).unwrap_err().to_string();
    let quoted = error.split('`').skip(1).step_by(2);
    quoted.filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

#[test]
fn every_event_is_documented_and_no_other() {
    let documented: BTreeSet<String> = rows().into_iter().map(|row| row.name).collect();
    assert_eq!(documented, names_in_code(), "docs/EVENTS.md left, code right");
}

#[test]
fn numbers_are_unique_and_rise() {
    let numbers: Vec<u16> = rows().iter().map(|row| row.number).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}

#[test]
fn each_event_has_the_documented_number_and_fields() {
    for Row { number, name, fields } in rows() {
        let mut body: Map<String, Value> =
            fields.iter().map(|(field, kind)| (field.clone(), sample(kind))).collect();
        body.insert("name".to_owned(), json!(name));
        let event: Event = serde_json::from_value(Value::Object(body.clone()))
            .unwrap_or_else(|error| panic!("{name}: {error}; see docs/EVENTS.md"));
        assert_eq!(event.number(), number, "{name}");
        assert_eq!(serde_json::to_value(&event).unwrap(), Value::Object(body), "{name}");
    }
}
