//! `samphireshift config check` with real daemons: output, exit codes, differences, and that it changes nothing.

mod env;

use env::process::program_dir;
use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

/// Until a leader answers.
const LEADER_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("samphireshift-config-check-{id}-{name}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A temporary folder that is left behind does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    let all = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&all).into_owned()
}

fn report(output: &Output) -> Value {
    let report = serde_json::from_slice(&output.stdout);
    report.unwrap_or_else(|_| panic!("the report is not JSON: {}", text(output)))
}

/// A check without a daemon.
struct OfflineCase {
    contents: &'static str,
    arguments: &'static [&'static str],
    code: i32,
    text: &'static str,
}

/// No daemon listens at port 1, so each check that asks one fails.
#[rstest]
#[case::sound(OfflineCase {
    contents: r#"{ "number": 1, "author": "a", "models": [{ "name": "m" }] }"#,
    arguments: &["--offline"], code: 0, text: "nothing found\n",
})]
#[case::not_compared(OfflineCase {
    contents: r#"{ "number": 1, "author": "a", "models": [{ "name": "m" }] }"#,
    arguments: &["--offline"], code: 0, text: "not compared with the version in force",
})]
#[case::refused(OfflineCase {
    contents: r#"{ "number": 1, "author": "", "models": [{ "name": "m" }] }"#,
    arguments: &["--offline"], code: 1, text: "the whole file: refused: 'author' is empty",
})]
#[case::unsure(OfflineCase {
    contents: r#"{ "number": 1, "author": "a", "versions": [{ "model": "m", "version": "v", "pool": "p", "quality": 0.5, "price": { "prompt": 1, "answer": 1 } }] }"#,
    arguments: &["--offline"], code: 0, text: "line 1, versions[0]: unsure: version m/v: there is no model 'm'",
})]
#[case::no_ticket(OfflineCase {
    contents: "{\n \"number\": \"one\" }", arguments: &[], code: 1, text: "line 2, column 16: refused: not a ticket",
})]
#[case::cut(OfflineCase {
    contents: "{\n \"number\": }", arguments: &[], code: 1,
    text: "line 2, column 12: refused: can be read neither as a ticket nor as a route table",
})]
#[case::cut_routes(OfflineCase {
    contents: "{ \"version\": 1,\n \"routes\": [", arguments: &["--offline"], code: 1,
    text: "line 2, column 12: refused: can be read neither as a ticket nor as a route table",
})]
#[case::no_routes(OfflineCase {
    contents: "{ \"version\": 1, \"services\": [] }", arguments: &["--offline"], code: 1,
    text: "the whole file: refused: can be read neither as a ticket, which has 'number', nor as a route table, which has 'routes'",
})]
#[case::unreachable(OfflineCase {
    contents: r#"{ "number": 1, "author": "a", "models": [{ "name": "m" }] }"#,
    arguments: &[], code: 2, text: "cannot reach 127.0.0.1:1",
})]
#[case::unreachable_hint(OfflineCase {
    contents: r#"{ "number": 1, "author": "a", "models": [{ "name": "m" }] }"#,
    arguments: &[], code: 2, text: "leave the comparison out with --offline",
})]
#[case::same_offline(OfflineCase {
    contents: "{}", arguments: &["--same", "--offline"], code: 2, text: "leave out --offline",
})]
#[case::settings(OfflineCase {
    contents: "[vm]\nname = a b\n", arguments: &[], code: 1, text: "[vm] name: refused: 'a b' is not a name",
})]
#[case::same_settings(OfflineCase {
    contents: "[vm]\n", arguments: &["--same"], code: 2, text: "daemons do not tell their settings",
})]
#[case::empty(OfflineCase { contents: "", arguments: &[], code: 2, text: "is neither a ticket" })]
#[case::other(OfflineCase { contents: "hello", arguments: &[], code: 2, text: "is neither a ticket" })]
#[case::unknown_option(OfflineCase { contents: "{}", arguments: &["--on"], code: 2, text: "--help" })]
fn a_check_without_a_daemon(#[case] case: OfflineCase) {
    let name = std::thread::current().name().unwrap_or("case").replace(':', "-");
    let folder = Folder::new(&name);
    let mut command = Command::new(program_dir().join("samphireshift"));
    command.env("SAMPHIRESHIFT_TOKEN", "operator-token").args(["--operator", "127.0.0.1:1"]);
    command.args(["config", "check"]).args(case.arguments);
    let output = command.arg(folder.write("file", case.contents)).output().expect("it runs");
    assert_eq!(output.status.code(), Some(case.code), "{}", text(&output));
    assert!(text(&output).contains(case.text), "{}", text(&output));
}

#[test]
fn a_file_that_is_not_there_cannot_be_checked() {
    let mut command = Command::new(program_dir().join("samphireshift"));
    let output = command.args(["config", "check", "/absent"]).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
    assert!(text(&output).contains("check that the file exists"), "{}", text(&output));
}

/// A file whose format cannot be told, and the place of the finding.
struct UnknownCase {
    contents: &'static str,
    line: Value,
}

#[rstest]
#[case::cut(UnknownCase { contents: "{ \"version\": 1,\n \"routes\": [", line: json!(2) })]
#[case::no_routes(UnknownCase { contents: "{ \"version\": 1 }", line: Value::Null })]
fn a_file_of_an_unknown_format_is_not_called_a_ticket(#[case] case: UnknownCase) {
    let folder = Folder::new(&format!("unknown-{}", case.line));
    let mut command = Command::new(program_dir().join("samphireshift"));
    command.args(["--json", "--operator", "127.0.0.1:1", "config", "check"]);
    let output = command.arg(folder.write("file", case.contents)).output().expect("it runs");
    let report = report(&output);
    assert_eq!((output.status.code(), &report["format"]), (Some(1), &json!("unknown")), "{report}");
    assert_eq!(report["findings"][0]["line"], case.line, "{report}");
    assert!(!report.to_string().contains("not a ticket"), "{report}");
}

/// Runs the tool at daemon 1; asks again up to a limit while no leader answers.
fn run_check(fleet: &Fleet, arguments: &[&str]) -> Output {
    let deadline = Instant::now() + LEADER_TIMEOUT;
    loop {
        let output = fleet.run_tool(1, arguments);
        let has_answer = output.status.code() != Some(2) || !text(&output).contains("no leader");
        if has_answer || Instant::now() > deadline {
            return output;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Checks a ticket at daemon 1; returns the exit code and the report.
fn check(fleet: &Fleet, ticket: &Value, arguments: &[&str]) -> (Option<i32>, Value) {
    let file = fleet.write_file("checked", &ticket.to_string());
    let file = file.display().to_string();
    let command = ["--json", "config", "check"];
    let output = run_check(fleet, &[&command[..], arguments, &[file.as_str()][..]].concat());
    (output.status.code(), report(&output))
}

/// The entries and changes of the differences.
fn changes(report: &Value) -> Vec<(String, String)> {
    let all = report["differences"].as_array().expect("it was compared").iter();
    let text = |value: &Value| value.as_str().expect("a text").to_owned();
    all.map(|one| (text(&one["entry"]), text(&one["change"]))).collect()
}

fn pairs(all: &[(&str, &str)]) -> Vec<(String, String)> {
    all.iter().map(|(entry, change)| (entry.to_string(), change.to_string())).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_is_compared_with_the_version_in_force() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let (code, before) = check(&fleet, &ticket::initial(5), &[]);
    assert_eq!((code, &before["in_force"]), (Some(0), &Value::Null), "{before}");
    let first = [("organisation karri", "added"), ("model cheap", "unknown")];
    assert_eq!(changes(&before)[..2], pairs(&first));
    assert_eq!(before["findings"], json!([]));

    let revision = fleet.apply(&ticket::initial(5)).await;
    let next = json!({
        "number": 6, "author": "test",
        "versions": [
            ticket::version("cheap", "v1", "closing", 0.8, 100),
            ticket::version("cheap", "v2", "open", 0.9, 100),
            ticket::version("better", "v1", "open", 0.95, 1000),
        ],
    });
    let (code, report) = check(&fleet, &next, &[]);
    assert_eq!(code, Some(0), "{report}");
    let expected = json!({
        "file": fleet.dir().join("checked"), "format": "ticket", "findings": [],
        "in_force": revision,
        "differences": [
            { "entry": "version cheap v1", "change": "changed",
              "fields": [{ "field": "state", "before": "open", "after": "closing" }] },
            { "entry": "version cheap v2", "change": "added", "fields": [] },
        ],
    });
    assert_eq!(report, expected);
    assert_eq!(check(&fleet, &next, &["--same"]).0, Some(1));
    let same = json!({
        "number": 6, "author": "test",
        "versions": [ticket::version("better", "v1", "open", 0.95, 1000)],
    });
    assert_eq!(check(&fleet, &same, &["--same"]).0, Some(0));

    let stale = json!({ "number": 4, "author": "late", "models": [{ "name": "cheap" }] });
    let (code, report) = check(&fleet, &stale, &[]);
    let finding = &report["findings"][0];
    assert_eq!(
        (code, &finding["kind"], &finding["place"]),
        (Some(1), &json!("refused"), &json!("number"))
    );
    let lost = json!({
        "number": 6, "author": "test",
        "versions": [ticket::version("absent", "v1", "open", 0.9, 1)],
    });
    let (code, report) = check(&fleet, &lost, &[]);
    let finding = &report["findings"][0];
    assert_eq!(
        (code, &finding["place"], &finding["line"]),
        (Some(1), &json!("versions[0]"), &json!(1))
    );
    // Text, and nothing was changed by any of the checks.
    let file = fleet.write_file("next", &next.to_string()).display().to_string();
    let printed = text(&run_check(&fleet, &["config", "check", &file]));
    let expected = format!(
        "differs from {revision}, which is in force: version cheap v1: changed: state \"open\" -> \"closing\""
    );
    assert!(printed.contains(&expected), "{printed}");
    let config = fleet.operate(0, "GET", "/v1/config", &Value::Null).await.json();
    assert_eq!(config["revision"], revision);
    assert_eq!(fleet.apply(&next).await, revision + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_token_is_told() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let file = fleet.write_file("ticket", &ticket::initial(1).to_string());
    let mut command = Command::new(program_dir().join("samphireshift"));
    command.env("SAMPHIRESHIFT_TOKEN", "another-token");
    command.arg("--operator").arg(fleet.daemons[0].operators.to_string());
    let output = command.args(["config", "check"]).arg(file).output().expect("it runs");
    assert_eq!(output.status.code(), Some(2), "{}", text(&output));
    assert!(text(&output).contains("token is missing or wrong"), "{}", text(&output));
}
