use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Operates a samphireshift cluster through any of its daemons.
#[derive(Debug, FromArgs)]
pub struct Options {
    /// operator address of a daemon; default 127.0.0.1:9000
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 9000))")]
    pub operator: SocketAddr,
    /// file that holds the operator token; default: the variable SAMPHIRESHIFT_TOKEN
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Check a settings file.
    Check(Check),
    /// Hash an API key for a ticket.
    HashKey(HashKey),
    /// Found a cluster.
    Found(Found),
    /// Stop a daemon gracefully.
    Drain(Drain),
    /// Show all daemons.
    Status(Status),
    /// Apply or show tickets.
    Ticket(Ticket),
    /// Show versions and roll-outs.
    Versions(Versions),
    /// Show roll-outs.
    Rollouts(Rollouts),
    /// Show bills.
    Bills(Bills),
    /// Show what happened.
    Timeline(Timeline),
    /// Say in words what became of a request.
    Explain(Explain),
}

/// Check a daemon's settings file and report every fault at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}

/// Print the hash of an API key, as tickets hold it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub struct HashKey {
    /// the key
    #[argh(positional)]
    pub key: String,
}

/// Found a cluster on the daemon asked; done once in a cluster's life.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "found")]
pub struct Found {}

/// Stop the daemon asked, without cutting a request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Show members, leaders, leases and the revision of each daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Apply a ticket or show accepted ones.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub struct Ticket {
    /// what to do with tickets
    #[argh(subcommand)]
    pub command: TicketCommand,
}

/// What to do with tickets.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum TicketCommand {
    /// Apply one.
    Apply(TicketApply),
    /// Show one.
    Show(TicketShow),
    /// List them.
    List(TicketList),
}

/// Apply a ticket and wait until it is in force everywhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct TicketApply {
    /// the ticket, a JSON file; '-' for the standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// only say what would happen
    #[argh(switch)]
    pub dry_run: bool,
    /// seconds to wait for the ticket to be in force; default 10
    #[argh(option, default = "10")]
    pub wait: u64,
}

/// Show an accepted ticket.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct TicketShow {
    /// the ticket's number
    #[argh(positional)]
    pub number: u64,
}

/// List accepted tickets, newest first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct TicketList {}

/// Show versions and roll-outs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "versions")]
pub struct Versions {}

/// Show roll-outs with the step, share and state of each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rollouts")]
pub struct Rollouts {}

/// Show what each organisation was billed, or every bill of one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bills")]
pub struct Bills {
    /// show each bill of this organisation
    #[argh(option)]
    pub organisation: Option<String>,
}

/// Show the events of all daemons in causal order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Timeline {
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
    /// only events of this number, see docs/EVENTS.md
    #[argh(option)]
    pub number: Option<u16>,
    /// only events of this name, see docs/EVENTS.md
    #[argh(option)]
    pub name: Option<String>,
    /// at most this many of the newest of each daemon
    #[argh(option)]
    pub most: Option<u32>,
    /// go on showing events as they happen
    #[argh(switch)]
    pub follow: bool,
    /// with --follow: how often to look before ending; default without end
    #[argh(option)]
    pub times: Option<u64>,
    /// also draw the events to this SVG file
    #[argh(option)]
    pub svg: Option<PathBuf>,
}

/// Say in words what became of a request, a ticket or a version.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request, as the header x-request-id gave it
    #[argh(positional)]
    pub request: Option<String>,
    /// explain this ticket instead
    #[argh(option)]
    pub ticket: Option<u64>,
    /// explain this version instead, as model/version, with the evidence where it was stopped
    #[argh(option)]
    pub version: Option<String>,
}
