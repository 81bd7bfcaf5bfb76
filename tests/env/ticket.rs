//! Tickets and their objects, as JSON.

use samphireshift::control::KeyHash;
use serde_json::{Value, json};

/// The API key of the organisation in [`initial`].
pub const KEY: &str = "karri-key";

/// An organisation with one API key, whose tasks of kind `dispute` go directly to the model
/// `better`.
pub fn organisation(name: &str, key: &str) -> Value {
    let rule = json!({ "kind": "dispute", "target": 0.9, "route": { "direct": "better" } });
    json!({
        "name": name, "keys": [KeyHash::of(key)], "target": 0.7, "kinds": [rule],
        "models": [{ "model": "cheap" }, { "model": "better" }], "services": ["ledger", "stock"],
    })
}

/// A model version in the pool with the name of its model.
pub fn version(model: &str, version: &str, state: &str, quality: f64, price: u64) -> Value {
    json!({
        "model": model, "version": version, "pool": model, "state": state, "quality": quality,
        "price": { "prompt": price, "answer": price * 3 },
    })
}

/// A ticket with one organisation, two services, and the models `cheap` and `better`, of which
/// `better` costs ten times as much.
pub fn initial(number: u64) -> Value {
    json!({
        "number": number, "author": "test",
        "organisations": [organisation("karri", KEY)],
        "models": [{ "name": "cheap" }, { "name": "better" }],
        "versions": [
            version("cheap", "v1", "open", 0.8, 100),
            version("better", "v1", "open", 0.95, 1000),
        ],
        "services": [
            { "name": "ledger", "pool": "ledger", "repeat": "never", "price": 50 },
            { "name": "stock", "pool": "ledger", "repeat": "freely", "price": 5 },
        ],
    })
}
