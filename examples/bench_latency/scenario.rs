/// Engines of the pool under test, as many as Karri Lane's drafting replicas.
pub const ENGINES: usize = 20;

/// What happens a quarter into the run.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Nothing.
    None,
    /// Two engines become ten times slower.
    Slow,
    /// Three engines vanish, and stay on the VM list.
    Loss,
}

/// One comparison.
#[derive(Debug)]
pub struct Scenario {
    /// Its name in the table.
    pub name: &'static str,
    /// An argument of each engine besides [`ENGINE`].
    pub extra: Option<&'static str>,
    /// Requests a second.
    pub rate: f64,
    /// What happens meanwhile.
    pub fault: Fault,
}

/// 4 slots; 20 ms and 4 ms for each block that is not cached to the first token, then 30 tokens of
/// 5 ms: about 80 places for 0.23 s each, so some 340 requests a second at most.
pub const ENGINE: &[&str] = &[
    "--versions=cheap/v1",
    "--slots=4",
    "--first-us=20000",
    "--prefill-us=4000",
    "--cache-blocks=96",
    "--tokens=30",
    "--delay-us=5000",
];

const CAPACITY: f64 = 340.0;

/// All comparisons.
pub const SCENARIOS: [Scenario; 5] = [
    Scenario { name: "healthy", extra: None, rate: CAPACITY * 0.6, fault: Fault::None },
    Scenario {
        name: "lag",
        extra: Some("--lag-ms=2000"),
        rate: CAPACITY * 0.6,
        fault: Fault::None,
    },
    Scenario { name: "slow", extra: None, rate: CAPACITY * 0.6, fault: Fault::Slow },
    Scenario { name: "loss", extra: None, rate: CAPACITY * 0.6, fault: Fault::Loss },
    Scenario { name: "overload", extra: None, rate: CAPACITY * 1.3, fault: Fault::None },
];
