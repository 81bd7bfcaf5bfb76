//! Calls under tickets (role `all`) cannot be kept in regions, so a ticket that asks for it is refused.

mod env;

use env::{Fleet, FleetSpec, ticket};
use rstest::rstest;
use samphireshift::control::{Ticket, TicketFormatError};
use serde_json::{Value, json};

struct PlaceCase {
    /// The list of objects of which the first gets a rule; `None` for the ticket itself.
    objects: Option<&'static str>,
}

fn with_rule(case: &PlaceCase) -> Value {
    let mut ticket = ticket::initial(2);
    let object = match case.objects {
        Some(name) => &mut ticket[name][0],
        None => &mut ticket,
    };
    object["allowed_regions"] = json!(["west"]);
    ticket
}

/// Guards against a rule that is read and not kept: calls would be served anywhere.
#[rstest]
#[case::organisation(PlaceCase { objects: Some("organisations") })]
#[case::model(PlaceCase { objects: Some("models") })]
#[case::version(PlaceCase { objects: Some("versions") })]
#[case::service(PlaceCase { objects: Some("services") })]
#[case::all(PlaceCase { objects: None })]
fn a_rule_is_refused_wherever_it_stands(#[case] case: PlaceCase) {
    let text = with_rule(&case).to_string();
    let error = Ticket::from_json(text.as_bytes()).expect_err("the rule is refused");
    assert!(matches!(error, TicketFormatError::Regions(_)), "{error}");
    let text = error.to_string();
    assert!(text.contains("allowed_regions") && text.contains("route table"), "{text}");
}

#[test]
fn other_faults_say_nothing_of_regions() {
    let error = Ticket::from_json(b"{\"number\": 1, \"regions\": []}").expect_err("it is refused");
    assert!(matches!(error, TicketFormatError::Json(_)), "{error}");
}

/// Guards against a ticket that is refused only in part, and against an answer that does not say why.
#[tokio::test(flavor = "multi_thread")]
async fn the_operator_is_told_and_nothing_changes() {
    let fleet = Fleet::start(&FleetSpec::default()).await;
    let revision = fleet.apply(&ticket::initial(1)).await;
    let rule = with_rule(&PlaceCase { objects: Some("organisations") });
    let reply = fleet.operate(0, "POST", "/v1/tickets", &rule).await;
    assert_eq!(reply.status, 400, "{}", reply.text());
    assert!(reply.text().contains("allowed_regions"), "{}", reply.text());
    assert!(reply.text().contains("can't be kept in regions"), "{}", reply.text());
    let config = fleet.operate(0, "GET", "/v1/config", &Value::Null).await.json();
    assert_eq!(config["revision"], revision);
    // The number is still free.
    fleet.apply(&ticket::initial(2)).await;
}
