//! The command-line tool against real daemons: output, errors and exit codes.

mod env;

use env::fleet::await_until;
use env::{Fleet, Plan, ticket};
use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// One run of the tool and what must come of it.
struct Case {
    arguments: &'static [&'static str],
    code: i32,
    says: &'static str,
}

fn text(output: &Output) -> String {
    let all = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&all).into_owned()
}

fn check(fleet: &Fleet, cases: &[Case]) {
    for case in cases {
        let output = fleet.tool(1, case.arguments);
        let said = text(&output);
        assert_eq!(output.status.code(), Some(case.code), "{:?}: {said}", case.arguments);
        assert!(said.contains(case.says), "{:?}: {said}", case.arguments);
    }
}

fn chat() -> Value {
    json!({ "messages": [{ "role": "user", "content": "hello" }] })
}

/// Gives the tool a ticket on its standard input.
fn pipe(fleet: &Fleet, ticket: &Value) -> Output {
    let mut command = Command::new(env::process::programs().join("samphireshift"));
    command.env("SAMPHIRESHIFT_TOKEN", "operator-token");
    command.arg("--operator").arg(fleet.daemons[2].operators.to_string());
    command.args(["ticket", "apply", "-"]).stdin(Stdio::piped()).stdout(Stdio::piped());
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    child.stdin.take().unwrap().write_all(ticket.to_string().as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_command_says_what_it_did_and_ends_with_its_exit_code() {
    let mut fleet = Fleet::start(&Plan::default()).await;
    let applied = pipe(&fleet, &ticket::first(5));
    assert_eq!(applied.status.code(), Some(0), "{}", text(&applied));
    assert!(text(&applied).contains("ticket 5 is in force everywhere"), "{}", text(&applied));
    let session = [("x-session-id", "payee-7")];
    let answer = fleet.chat(0, &session, &chat()).await;
    fleet.chat(2, &session, &chat()).await;
    let other = json!({ "number": 5, "author": "other", "models": [{ "name": "cheap" }] });
    let stale = json!({ "number": 4, "author": "late", "models": [{ "name": "cheap" }] });
    let empty = json!({ "number": 9, "author": "e" });
    for (name, ticket) in [("other", other), ("stale", stale), ("empty", empty)] {
        fleet.file(name, &ticket.to_string());
    }
    fleet.file("broken", "{");
    std::env::set_current_dir(fleet.dir()).unwrap();
    check(
        &fleet,
        &[
            Case { arguments: &["status"], code: 0, says: "entry-2 (dc-2, diskless): serving" },
            Case { arguments: &["--json", "status"], code: 0, says: "\"missing\":[]" },
            Case { arguments: &["versions"], code: 0, says: "cheap/v1: open" },
            Case { arguments: &["rollouts"], code: 0, says: "" },
            Case { arguments: &["--json", "rollouts"], code: 0, says: "[]" },
            Case { arguments: &["bills"], code: 0, says: "karri: 2 answers" },
            Case { arguments: &["bills", "--organisation", "karri"], code: 0, says: "cheap/v1" },
            Case { arguments: &["ticket", "list"], code: 0, says: "5: by test" },
            Case { arguments: &["ticket", "show", "5"], code: 0, says: "organisation karri" },
            Case {
                arguments: &["ticket", "show", "9"],
                code: 1,
                says: "no ticket with this number",
            },
            Case {
                arguments: &["ticket", "apply", "other"],
                code: 1,
                says: "already taken by test",
            },
            Case {
                arguments: &["ticket", "apply", "stale"],
                code: 1,
                says: "use a number above 5",
            },
            Case { arguments: &["ticket", "apply", "empty"], code: 1, says: "touches no object" },
            Case { arguments: &["ticket", "apply", "broken"], code: 2, says: "not a ticket" },
            Case {
                arguments: &["ticket", "apply", "absent"],
                code: 2,
                says: "check that the file exists",
            },
            Case {
                arguments: &["ticket", "apply", "--dry-run", "empty"],
                code: 1,
                says: "touches no object",
            },
            Case {
                arguments: &["timeline", "--session", "payee-7"],
                code: 0,
                says: "answer_billed",
            },
            Case { arguments: &["timeline", "--ticket", "5"], code: 0, says: "ticket_in_force" },
            Case {
                arguments: &["timeline", "--version", "cheap/v1"],
                code: 0,
                says: "session_pinned",
            },
            Case {
                arguments: &["timeline", "--name", "lease_gained", "--since", "1h"],
                code: 0,
                says: "lease_gained",
            },
            Case {
                arguments: &["timeline", "--follow", "--times", "2"],
                code: 0,
                says: "cluster_founded",
            },
            Case { arguments: &["timeline", "--most", "1"], code: 0, says: "omitted older events" },
            Case {
                arguments: &["timeline", "--since", "yesterday"],
                code: 2,
                says: "a time is given",
            },
            Case { arguments: &["timeline", "--request", "7"], code: 2, says: "32 hex digits" },
            Case {
                arguments: &["timeline", "--svg", "picture.svg"],
                code: 0,
                says: "cluster_founded",
            },
            Case {
                arguments: &["explain", "--ticket", "5"],
                code: 0,
                says: "entry-1 installed revision 1",
            },
            Case {
                arguments: &["explain", "--version", "cheap/v1"],
                code: 0,
                says: "No stop on evidence",
            },
            Case { arguments: &["explain"], code: 2, says: "name one of" },
            Case { arguments: &["explain", "7"], code: 2, says: "32 hex digits" },
            Case {
                arguments: &["hash-key", "k"],
                code: 0,
                says: "8254c329a92850f6d539dd376f4816ee",
            },
            Case { arguments: &["check", "entry-0.ini"], code: 0, says: "the settings are valid" },
            Case { arguments: &["check", "broken"], code: 2, says: "not an INI file" },
            Case { arguments: &["found"], code: 1, says: "already belongs to cluster" },
            Case { arguments: &["nonsense"], code: 2, says: "Unrecognized argument" },
        ],
    );
    let explained = text(&fleet.tool(2, &["explain", answer.header("x-request-id")]));
    for part in ["entry-0 admitted it for organisation karri", "payee-7", "billed once"] {
        assert!(explained.contains(part), "{explained}");
    }
    let picture = std::fs::read_to_string(fleet.dir().join("picture.svg")).unwrap();
    for part in [">entry-0<", ">entry-1<", ">entry-2<", "30 ticket_accepted", "marker-end"] {
        assert!(picture.contains(part), "{part}");
    }
    survive_restart_and_name_the_missing(&mut fleet).await;
}

/// Events from before a restart are still there; a daemon that is down is named.
async fn survive_restart_and_name_the_missing(fleet: &mut Fleet) {
    fleet.restart(1);
    fleet.await_ready().await;
    let kept = ["timeline", "--vm", "entry-1", "--name", "daemon_started"];
    await_until("both starts of entry-1 are shown", async || {
        text(&fleet.tool(0, &kept)).matches("daemon_started").count() == 2
    })
    .await;
    fleet.daemons[2].process.kill();
    await_until("entry-2 is named as missing", async || {
        let said = text(&fleet.tool(0, &["timeline"]));
        said.contains("incomplete: daemon entry-2") && said.contains("not reached")
    })
    .await;
    let status = text(&fleet.tool(0, &["status"]));
    assert!(status.contains("not reached; what it does is unknown"), "{status}");
    let gone = fleet.tool(2, &["status"]);
    assert_eq!(gone.status.code(), Some(3), "{}", text(&gone));
    let drained = fleet.tool(0, &["drain"]);
    assert_eq!(drained.status.code(), Some(0), "{}", text(&drained));
    assert_eq!(fleet.daemons[0].process.wait(), Some(0));
}
