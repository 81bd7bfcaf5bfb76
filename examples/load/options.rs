use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Sends chat completions at a fixed rate and reports their latency from the scheduled times.
#[derive(Debug, Clone, FromArgs)]
pub struct LoadOptions {
    /// address to measure; without it, daemons and fakes are started, and routed requests are
    /// compared with direct ones
    #[argh(option)]
    pub address: Option<SocketAddr>,
    /// API key; repeat the option to use several keys in turn
    #[argh(option, default = "vec![String::from(\"karri-key\")]")]
    pub key: Vec<String>,
    /// requests per second
    #[argh(option, default = "200")]
    pub rate: u64,
    /// duration of the load in seconds
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// share of streamed requests, in percent
    #[argh(option, default = "100")]
    pub streamed: u64,
    /// number of sessions to spread the requests over; 0 sends requests without a session
    #[argh(option, default = "0")]
    pub sessions: u64,
    /// tokens in each answer of the fakes that are started
    #[argh(option, default = "50")]
    pub tokens: u64,
    /// microseconds between tokens of the fakes that are started
    #[argh(option, default = "5000")]
    pub delay: u64,
    /// instead of sending a load, keep this many idle streams open and print the daemon's memory;
    /// repeat the option, in ascending order, for several numbers of streams
    #[argh(option)]
    pub idle: Vec<u64>,
    /// SVG file to write, with diagrams of the latency over percentiles and over time
    #[argh(option)]
    pub svg: Option<PathBuf>,
    /// print JSON instead of a table
    #[argh(switch)]
    pub json: bool,
}
