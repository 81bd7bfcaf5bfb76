//! The checks of tickets and settings before they are sent: each finding and its place.

use rstest::rstest;
use samphireshift::check::FindingKind::{Contradiction, NeverUsed, Refused, Unsure};
use samphireshift::check::{FindingKind, TicketCheck, check_settings};
use samphireshift::control::{ControlState, KeyHash, TicketAnswer, TicketRefusal};
use samphireshift::name::{ModelName, VersionKey, VersionName};
use serde_json::{Value, json};

const SETTINGS: &str = "
[vm]
name = entry-1
data_centre = north
role = router
[listen]
callers = 10.0.0.1:8080
peers = 10.0.0.1:7000
[cluster]
secret = a-long-secret
seeds = 10.0.0.2:9000
";

/// A ticket that needs nothing but itself.
fn ticket() -> Value {
    json!({
        "number": 3, "author": "test",
        "organisations": [{
            "name": "karri", "keys": [KeyHash::of("key")], "models": [{ "model": "cheap" }],
            "services": ["stock"],
            "kinds": [{ "kind": "dispute", "target": 0.5, "route": { "direct": "cheap" } }],
        }],
        "models": [{ "name": "cheap" }],
        "versions": [version("v1"), version("v2")],
        "services": [{ "name": "stock", "pool": "stock", "repeat": "freely" }],
        "rollouts": [{
            "name": "next", "from": "cheap/v1", "to": "cheap/v2", "steps": [10, 1000], "answers": 5,
        }],
    })
}

fn version(name: &str) -> Value {
    json!({
        "model": "cheap", "version": name, "pool": "cheap", "quality": 0.8,
        "price": { "prompt": 1, "answer": 1 },
    })
}

/// A change of a sound ticket, and the only finding in it.
struct TicketCase {
    change: fn(&mut Value),
    kind: FindingKind,
    place: &'static str,
    text: &'static str,
}

#[rstest]
#[case::no_author(TicketCase {
    change: |t| t["author"] = json!(" "),
    kind: Refused, place: "", text: "'author' is empty",
})]
#[case::number_zero(TicketCase {
    change: |t| t["number"] = json!(0),
    kind: Refused, place: "number", text: "use a number above 0",
})]
#[case::twice(TicketCase {
    change: |t| t["models"] = json!([{ "name": "cheap" }, { "name": "cheap" }]),
    kind: Refused, place: "models[1]", text: "model cheap stands twice",
})]
#[case::quality(TicketCase {
    change: |t| t["versions"][1]["quality"] = json!(1.5),
    kind: Refused, place: "versions[1]", text: "'quality' must be from 0 to 1",
})]
#[case::weight(TicketCase {
    change: |t| t["organisations"][0]["weight"] = json!(0),
    kind: Refused, place: "organisations[0]", text: "'weight' must be at least 1",
})]
#[case::steps(TicketCase {
    change: |t| t["rollouts"][0]["steps"] = json!([1000, 10]),
    kind: Refused, place: "rollouts[0]", text: "'steps' must rise",
})]
#[case::model_elsewhere(TicketCase {
    change: |t| t["organisations"][0]["models"] = json!([{ "model": "cheap" }, { "model": "dear" }]),
    kind: Unsure, place: "organisations[0]", text: "there is no model 'dear'",
})]
#[case::version_elsewhere(TicketCase {
    change: |t| t["rollouts"][0]["from"] = json!("cheap/v0"),
    kind: Unsure, place: "rollouts[0]", text: "there is no version 'cheap/v0'",
})]
#[case::service_elsewhere(TicketCase {
    change: |t| t["services"] = json!([]),
    kind: Unsure, place: "organisations[0]", text: "there is no service 'stock'",
})]
#[case::no_key(TicketCase {
    change: |t| t["organisations"][0]["keys"] = json!([]),
    kind: NeverUsed, place: "organisations[0]", text: "it has no API key",
})]
#[case::covered_grant(TicketCase {
    change: |t| t["organisations"][0]["models"] = json!([{ "model": "cheap" }, { "model": "cheap" }]),
    kind: NeverUsed, place: "organisations[0]", text: "an earlier grant of model 'cheap' covers this",
})]
#[case::covered_rule(TicketCase {
    change: |t| {
        let rule = t["organisations"][0]["kinds"][0].clone();
        t["organisations"][0]["kinds"].as_array_mut().expect("rules").push(rule);
    },
    kind: NeverUsed, place: "organisations[0]", text: "an earlier rule for kind 'dispute'",
})]
#[case::version_without_pool(TicketCase {
    change: |t| t["versions"][0]["pool"] = json!(""),
    kind: NeverUsed, place: "versions[0]", text: "version cheap/v1: it has no pool",
})]
#[case::service_without_pool(TicketCase {
    change: |t| t["services"][0]["pool"] = json!(""),
    kind: NeverUsed, place: "services[0]", text: "service stock: it has no pool",
})]
#[case::model_not_granted(TicketCase {
    change: |t| t["organisations"][0]["kinds"][0]["route"] = json!({ "direct": "dear" }),
    kind: Contradiction, place: "organisations[0]", text: "goes to model 'dear', which it may not use",
})]
#[case::withdrawn_target(TicketCase {
    change: |t| t["versions"][1]["state"] = json!("withdrawn"),
    kind: Contradiction, place: "rollouts[0]", text: "cheap/v2 takes no new sessions",
})]
fn a_ticket_that_is_wrong_is_found(#[case] case: TicketCase) {
    let mut ticket = ticket();
    (case.change)(&mut ticket);
    let text = serde_json::to_string_pretty(&ticket).expect("JSON");
    let check = TicketCheck::new(&text).expect("a ticket");
    let [finding] = check.findings.as_slice() else { panic!("{:?}", check.findings) };
    assert_eq!(finding.kind, case.kind, "{finding}");
    assert!(finding.message.contains(case.text), "{finding}");
    assert_eq!(finding.place.path, case.place, "{finding}");
    if case.place.contains('[') {
        assert_eq!(finding.place.line, line_of_entry(&text, case.place), "{finding}\n{text}");
    }
}

/// The line of the item in the pretty text, in which lists and items begin at fixed depths.
fn line_of_entry(text: &str, place: &str) -> Option<usize> {
    let (list, rest) = place.split_once('[')?;
    let index: usize = rest.strip_suffix(']')?.parse().ok()?;
    let lines = text.lines().enumerate();
    let after = lines.skip_while(|(_, line)| !line.starts_with(&format!("  \"{list}\"")));
    let mut items = after.filter(|(_, line)| *line == "    {");
    items.nth(index).map(|(at, _)| at + 1)
}

#[test]
fn nothing_is_found_in_a_sound_ticket() {
    let text = ticket().to_string();
    assert_eq!(TicketCheck::new(&text).expect("a ticket").findings, []);
    let answer = ControlState::default().dry_run_ticket(&TicketCheck::new(&text).unwrap().ticket);
    assert!(matches!(answer, TicketAnswer::Accepted { .. }), "{answer:?}");
}

/// A text that is no ticket.
struct TextCase {
    text: &'static str,
    place: &'static str,
    message: &'static str,
}

#[rstest]
#[case::cut(TextCase { text: "{\n  \"number\": 1,\n", place: "line 3, column 0", message: "EOF" })]
#[case::unknown_field(TextCase {
    text: "{\n  \"number\": 1, \"author\": \"a\",\n  \"nmae\": 1 }",
    place: "line 3, column 8", message: "unknown field `nmae`",
})]
#[case::wrong_type(TextCase {
    text: "{ \"number\": \"one\" }", place: "line 1, column 17", message: "expected u64",
})]
#[case::regions(TextCase {
    text: "{ \"number\": 1, \"allowed_regions\": [] }", place: "line 1, column 32",
    message: "can't be kept in regions",
})]
fn a_text_that_is_no_ticket_is_told_with_its_place(#[case] case: TextCase) {
    let finding = TicketCheck::new(case.text).expect_err("it is no ticket");
    assert_eq!(finding.kind, Refused);
    assert_eq!(finding.place.to_string(), case.place, "{finding}");
    assert!(finding.message.contains(case.message), "{finding}");
}

/// A ticket with a key where something else is expected, and what is said of it.
struct KeyCase {
    part: &'static str,
    message: &'static str,
}

#[rstest]
#[case::text(KeyCase {
    part: r#""keys": "sk-1""#, message: "invalid type: string (not shown), expected a sequence",
})]
#[case::quotes(KeyCase {
    part: r#""keys": "a\"sk-1\\\\\"sk-1\\""#,
    message: "invalid type: string (not shown), expected a sequence",
})]
#[case::number(KeyCase {
    part: r#""keys": 5551"#, message: "invalid type: integer (not shown), expected a sequence",
})]
#[case::fraction(KeyCase {
    part: r#""keys": 5551.5"#, message: "invalid type: floating point (not shown), expected a sequence",
})]
#[case::variant(KeyCase {
    part: r#""keys": [], "kinds": [{ "kind": "k", "route": "sk-1`, " }]"#,
    message: "unknown variant (not shown), expected",
})]
fn a_key_is_not_shown_where_it_cannot_be_read(#[case] case: KeyCase) {
    let KeyCase { part, message } = case;
    let organisations = format!(r#"[{{ "name": "karri", {part} }}]"#);
    let text = format!(r#"{{ "number": 1, "author": "a", "organisations": {organisations} }}"#);
    let finding = TicketCheck::new(&text).expect_err("it is no ticket");
    assert!(finding.message.contains(message), "{finding}");
    let shown = finding.message.split(" at line ").next().unwrap_or_default();
    assert!(!shown.contains("sk-1") && !shown.contains("5551"), "{finding}");
    assert_eq!((finding.place.line, finding.place.column.is_some()), (Some(1), true));
}

/// What the leader answers settles what the ticket alone leaves open.
#[test]
fn the_answer_of_the_leader_settles_what_is_unsure() {
    let mut ticket = ticket();
    ticket["organisations"][0]["models"] = json!([{ "model": "cheap" }, { "model": "dear" }]);
    let text = ticket.to_string();
    let mut accepted = TicketCheck::new(&text).expect("a ticket");
    accepted.take_answer(&TicketAnswer::Accepted { revision: 1 });
    assert_eq!(accepted.findings, []);
    let mut refused = TicketCheck::new(&text).expect("a ticket");
    let reasons = vec![refused.findings[0].message.clone(), "version a/b: of others".to_owned()];
    refused.take_answer(&TicketAnswer::Refused(TicketRefusal::Invalid { reasons }));
    let told: Vec<_> =
        refused.findings.iter().map(|one| (one.kind, one.place.path.as_str())).collect();
    assert_eq!(told, [(Refused, "organisations[0]"), (Refused, "")]);
}

/// Guards the finding that a later grant of the same model is covered.
#[test]
fn the_first_grant_of_a_model_is_the_one_that_counts() {
    let text = ticket().to_string();
    let mut organisation = TicketCheck::new(&text).unwrap().ticket.organisations.remove(0);
    let whole_model = organisation.models[0].clone();
    organisation.models[0].versions = vec![VersionName::new("v1")];
    organisation.models.push(whole_model);
    let key = |version: &str| VersionKey::new(ModelName::new("cheap"), VersionName::new(version));
    assert!(organisation.allows(&key("v1")) && !organisation.allows(&key("v2")));
}

/// A change of sound settings, and the place of the only finding in them.
struct SettingsCase {
    add: &'static str,
    kind: FindingKind,
    place: &'static str,
}

#[rstest]
#[case::unknown_key(SettingsCase { add: "[limits]\nbodi = 1", kind: Refused, place: "[limits] bodi" })]
#[case::bad_value(SettingsCase { add: "[limits]\nbody = x", kind: Refused, place: "[limits] body" })]
#[case::deadline_under_target(SettingsCase {
    add: "[limits]\ndeadline = 5s", kind: Contradiction, place: "[limits] first_token",
})]
#[case::connect(SettingsCase {
    add: "[limits]\ndeadline = 10s\nconnect = 20s", kind: Contradiction, place: "[limits] connect",
})]
#[case::drain_over_stop(SettingsCase {
    add: "[limits]\ndrain = 10s\n[promises]\nstop = 5s", kind: Contradiction, place: "[limits] drain",
})]
fn settings_that_are_wrong_are_found(#[case] case: SettingsCase) {
    assert_eq!(check_settings("router.ini", SETTINGS), []);
    let found = check_settings("router.ini", &format!("{SETTINGS}{}\n", case.add));
    let [finding] = found.as_slice() else { panic!("{found:?}") };
    assert_eq!((finding.kind, finding.place.path.as_str()), (case.kind, case.place), "{finding}");
}
