use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sends chat completions at a fixed rate and tells how long they took from their scheduled times.
#[derive(Debug, Clone, FromArgs)]
pub struct Options {
    /// the address to measure; without it, daemons and fakes are started and routed requests are
    /// compared with direct ones
    #[argh(option)]
    pub address: Option<SocketAddr>,
    /// API keys, one for each organisation, used in turn
    #[argh(option, default = "vec![String::from(\"karri-key\")]")]
    pub key: Vec<String>,
    /// requests a second
    #[argh(option, default = "200")]
    pub rate: u64,
    /// seconds that the load lasts
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// share of streamed requests, in per cent
    #[argh(option, default = "100")]
    pub streamed: u64,
    /// sessions to spread the requests over; 0 for requests without a session
    #[argh(option, default = "0")]
    pub sessions: u64,
    /// tokens of each answer, for the fakes that are started
    #[argh(option, default = "50")]
    pub tokens: u64,
    /// microseconds between tokens, for the fakes that are started
    #[argh(option, default = "5000")]
    pub delay: u64,
    /// instead of a load, hold this many idle streams open and tell the daemon's memory
    #[argh(option)]
    pub idle: Vec<u64>,
    /// where to draw latency over percentiles and over time
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub json: bool,
}
