use super::config_options::ConfigArgs;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operate a samphireshift cluster through any of its daemons.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// operator address of a daemon; default 127.0.0.1:9000
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 9000))")]
    pub operator: SocketAddr,
    /// file with the operator token; default: the environment variable SAMPHIRESHIFT_TOKEN
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands of the tool.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a settings file.
    Check(CheckArgs),
    /// Check a configuration before it is sent.
    Config(ConfigArgs),
    /// Print the hash of an API key.
    HashKey(HashKeyArgs),
    /// Found a cluster.
    Found(FoundArgs),
    /// Stop a daemon gracefully.
    Drain(DrainArgs),
    /// Show all daemons.
    Status(StatusArgs),
    /// Apply or show tickets.
    Ticket(TicketArgs),
    /// Show versions and roll-outs.
    Versions(VersionsArgs),
    /// Show roll-outs.
    Rollouts(RolloutsArgs),
    /// Show what organisations were billed.
    Bills(BillsArgs),
    /// Show or clear blocked parts of prompts and blocked requests.
    Parts(PartsArgs),
    /// Show, begin or finish evacuations of data centres.
    Evacuations(EvacuationsArgs),
    /// Show events of all daemons.
    Timeline(TimelineArgs),
    /// Explain the history of a request, a ticket or a version.
    Explain(ExplainArgs),
}

/// Check a daemon's settings file and report all errors in it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Print the hash of an API key for use in a ticket.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKeyArgs {
    /// the API key
    #[argh(positional)]
    pub key: String,
}

/// Found a new cluster on the daemon at the operator address; run this once per cluster.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "found")]
pub struct FoundArgs {}

/// Stop the daemon at the operator address after it has completed its requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {}

/// Show members, leaders, leases and the revision of each daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Apply a ticket or show accepted ones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct TicketArgs {
    /// the ticket command to run
    #[argh(subcommand)]
    pub command: TicketCommand,
}

/// The commands on tickets.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TicketCommand {
    /// Apply a ticket.
    Apply(TicketApplyArgs),
    /// Show an accepted ticket.
    Show(TicketShowArgs),
    /// List accepted tickets.
    List(TicketListArgs),
}

/// Apply a ticket and wait until it is in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct TicketApplyArgs {
    /// JSON file with the ticket; '-' reads the standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// only check whether the ticket would be accepted
    #[argh(switch)]
    pub dry_run: bool,
    /// seconds to wait until the ticket is in force; default 10
    #[argh(option, default = "10")]
    pub wait: u64,
}

/// Show an accepted ticket.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct TicketShowArgs {
    /// the ticket's number
    #[argh(positional)]
    pub number: u64,
}

/// List accepted tickets, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct TicketListArgs {}

/// Show versions and roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions")]
pub struct VersionsArgs {}

/// Show roll-outs with the step, share and state of each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollouts")]
pub struct RolloutsArgs {}

/// Show the total of the bills per organisation, or each bill of one organisation.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bills")]
pub struct BillsArgs {
    /// show each bill of this organisation
    #[argh(option)]
    pub organisation: Option<String>,
}

/// Show the parts of prompts and the requests that are blocked because they end servers, with the evidence.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "parts")]
pub struct PartsArgs {
    /// let calls with this part, or this request, through again (hexadecimal id)
    #[argh(option)]
    pub clear: Option<String>,
}

/// Show the data centres whose servers get no calls, or begin or finish the evacuation of one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evacuations")]
pub struct EvacuationsArgs {
    /// begin or finish one; without it, they are listed
    #[argh(subcommand)]
    pub order: Option<EvacuationOrder>,
}

/// An order for one data centre.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum EvacuationOrder {
    /// Send nothing more to a data centre.
    Begin(BeginEvacuationArgs),
    /// Take a data centre back.
    Finish(FinishEvacuationArgs),
}

/// Send no new calls to the servers of a data centre. Calls that run go on.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "begin")]
pub struct BeginEvacuationArgs {
    /// the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// Send calls to the servers of a data centre again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "finish")]
pub struct FinishEvacuationArgs {
    /// the data centre
    #[argh(positional)]
    pub data_centre: String,
}

/// Show the events of all daemons in causal order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct TimelineArgs {
    /// only events of this request
    #[argh(option)]
    pub request: Option<String>,
    /// only events of this ticket
    #[argh(option)]
    pub ticket: Option<u64>,
    /// only events of this version, as model/version
    #[argh(option)]
    pub version: Option<String>,
    /// only events of this session
    #[argh(option)]
    pub session: Option<String>,
    /// only events of this VM
    #[argh(option)]
    pub vm: Option<String>,
    /// only events at or after this time: milliseconds since 1970, or a time ago such as 5m
    #[argh(option)]
    pub since: Option<String>,
    /// only events before this time, given as for --since
    #[argh(option)]
    pub until: Option<String>,
    /// only events with this number, see docs/EVENTS.md
    #[argh(option)]
    pub number: Option<u16>,
    /// only events with this name, see docs/EVENTS.md
    #[argh(option)]
    pub name: Option<String>,
    /// maximum number of events per daemon; the newest are shown
    #[argh(option)]
    pub most: Option<u32>,
    /// keep showing new events as they happen
    #[argh(switch)]
    pub follow: bool,
    /// with --follow: end after this many queries; default: never
    #[argh(option)]
    pub times: Option<u64>,
    /// also draw the events into this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Explain in sentences what happened to a request, a ticket or a version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request ID, from the header x-request-id of the response
    #[argh(positional)]
    pub request: Option<String>,
    /// explain this ticket instead
    #[argh(option)]
    pub ticket: Option<u64>,
    /// explain this version instead, as model/version, with the evidence if it was stopped
    #[argh(option)]
    pub version: Option<String>,
}
