//! Memory and snapshot size of the replicated state.

use samphireshift::control::{Config, Model, Organisation};
use samphireshift::ledger::{Bill, LedgerCommand, LedgerState, Pin, PinState};
use samphireshift::name::{ModelName, OrganisationName, RequestId, SessionName, VersionKey};
use serde_json::json;
use std::time::Instant;

/// Measures a ledger with `size` bills, one with `size` pins, and configurations.
pub fn run(size: usize) {
    let organisation = OrganisationName::new("karri");
    let bill = |_| Bill {
        request: RequestId::random(),
        item: "drafter/v2".to_owned(),
        prompt_tokens: 900,
        answer_tokens: 220,
        cost: 1_500,
    };
    measure_ledger(size, "bill", |i| LedgerCommand::Bill {
        organisation: organisation.clone(),
        bill: bill(i),
    });
    let version = VersionKey::parse("drafter/v2").expect("invalid version");
    measure_ledger(size, "pin", |i| LedgerCommand::Pin {
        organisation: organisation.clone(),
        session: SessionName::new(format!("payee-{i:012}")),
        pin: Pin { version: version.clone(), state: PinState::Final },
    });
    measure_config();
}

/// Applies `size` commands to an empty ledger; prints its memory, snapshot size and times.
fn measure_ledger<F>(size: usize, item: &str, command: F)
where
    F: Fn(usize) -> LedgerCommand,
{
    let mut state = LedgerState::default();
    let before = resident_bytes();
    let started = Instant::now();
    (0..size).for_each(|i| {
        state.apply(command(i));
    });
    let micros = started.elapsed().as_secs_f64() * 1e6 / size as f64;
    let memory = (resident_bytes() - before) / size as f64;
    let started = Instant::now();
    let snapshot =
        postcard::to_stdvec(&state).expect("failed to serialise the ledger state").len() as f64;
    let millis = started.elapsed().as_secs_f64() * 1e3;
    println!(
        "  {size} {item}s: {memory:.0} B of memory and {:.0} B of snapshot each, {micros:.2} us to apply, {millis:.0} ms for one snapshot",
        snapshot / size as f64
    );
    // Leaked: freed memory would be reused by the next measurement and distort its result.
    std::mem::forget(state);
}

/// Prints the serialised size of configurations with 36 versions and 10 to 40 organisations.
fn measure_config() {
    for organisations in [10, 20, 40] {
        let mut config = Config { revision: 1, ..Config::default() };
        for i in 0..12 {
            let name = ModelName::new(format!("model-{i}"));
            config.models.insert(name.clone(), Model { name, description: String::new() });
        }
        for i in 0..36 {
            let version = json!({ "model": format!("model-{}", i / 3), "version": format!("v{i}"),
                "pool": "pool", "state": "open", "quality": 0.8, "price": { "prompt": 1, "answer": 3 } });
            let version: samphireshift::control::Version =
                serde_json::from_value(version).expect("invalid version");
            config.versions.insert(version.key(), version);
        }
        for i in 0..organisations {
            let grants: Vec<_> =
                (0..12).map(|m| json!({ "model": format!("model-{m}") })).collect();
            let organisation = json!({ "name": format!("organisation-{i}"),
                "keys": [samphireshift::control::KeyHash::of("a"), samphireshift::control::KeyHash::of("b")],
                "models": grants });
            let organisation: Organisation =
                serde_json::from_value(organisation).expect("invalid organisation");
            config.organisations.insert(organisation.name.clone(), organisation);
        }
        let bytes =
            postcard::to_stdvec(&config).expect("failed to serialise the configuration").len();
        println!("  configuration of 36 versions and {organisations} organisations: {bytes} B");
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4_096.0
}
