/// Engines of the pool under test; the same number as Karri Lane's drafting replicas.
pub const ENGINE_COUNT: usize = 20;

/// Fault that is injected after a quarter of the run.
#[derive(Debug, Clone, Copy)]
pub enum InjectedFault {
    /// No fault.
    None,
    /// Two engines become slower: 400 ms instead of 20 ms to the first token, 20 ms instead of 5 ms
    /// per token.
    SlowEngines,
    /// Three engine processes are killed; the VM list still contains them.
    KilledEngines,
}

/// Load and fault under which the policies are compared.
#[derive(Debug)]
pub struct Scenario {
    /// Name in the table and on the command line.
    pub name: &'static str,
    /// Argument of each engine in addition to [`ENGINE_ARGUMENTS`].
    pub extra_argument: Option<&'static str>,
    /// Requests per second.
    pub rate: f64,
    /// Fault injected during the run.
    pub fault: InjectedFault,
}

/// Arguments of each fake engine. Each has 4 slots and takes 20 ms plus 4 ms per uncached block to
/// the first token, then 5 ms for each of 30 tokens. The pool's 80 slots are held for about 0.23 s
/// per request, so it serves at most about 340 requests per second.
pub const ENGINE_ARGUMENTS: &[&str] = &[
    "--versions=cheap/v1",
    "--slots=4",
    "--first-us=20000",
    "--prefill-us=4000",
    "--cache-blocks=96",
    "--tokens=30",
    "--delay-us=5000",
];

/// Requests per second that the pool serves at most, see [`ENGINE_ARGUMENTS`].
const CAPACITY_PER_SECOND: f64 = 340.0;

/// All scenarios.
pub const SCENARIOS: [Scenario; 5] = [
    Scenario {
        name: "healthy",
        extra_argument: None,
        rate: CAPACITY_PER_SECOND * 0.6,
        fault: InjectedFault::None,
    },
    Scenario {
        name: "lag",
        extra_argument: Some("--lag-ms=2000"),
        rate: CAPACITY_PER_SECOND * 0.6,
        fault: InjectedFault::None,
    },
    Scenario {
        name: "slow",
        extra_argument: None,
        rate: CAPACITY_PER_SECOND * 0.6,
        fault: InjectedFault::SlowEngines,
    },
    Scenario {
        name: "loss",
        extra_argument: None,
        rate: CAPACITY_PER_SECOND * 0.6,
        fault: InjectedFault::KilledEngines,
    },
    Scenario {
        name: "overload",
        extra_argument: None,
        rate: CAPACITY_PER_SECOND * 1.3,
        fault: InjectedFault::None,
    },
];
