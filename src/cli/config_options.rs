use argh::FromArgs;
use std::path::PathBuf;

/// Check a configuration before it is sent.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    /// the command to run
    #[argh(subcommand)]
    pub command: ConfigCommand,
}

/// The commands on configurations.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ConfigCommand {
    /// Check a file.
    Check(ConfigCheckArgs),
}

/// Check a ticket, a route table or a settings file: what is refused, what no call can reach, limits that
/// contradict each other, and what differs from the version in force. Changes nothing. Exit codes: 0 nothing
/// found, 1 something found, 2 cannot check.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct ConfigCheckArgs {
    /// the file; '-' reads the standard input
    #[argh(positional)]
    pub file: PathBuf,
    /// ask no daemon; what only the version in force can show is told as unsure
    #[argh(switch)]
    pub offline: bool,
    /// exit with 1 also if the file differs from the version in force
    #[argh(switch)]
    pub same: bool,
    /// settings file of a daemon, to check a route table against its promises and regions
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// number of routers, to check the caps on connections of a route table
    #[argh(option)]
    pub routers: Option<u32>,
}
