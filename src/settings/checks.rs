//! Checks of settings against each other and against the machine.

use super::reader::{ADDRESS_LIST_FORMAT, SettingsReader};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// A lease must last for at least this many renewal intervals, so that one lost message does not
/// end it.
const MIN_RENEWALS_PER_LEASE: u32 = 3;
/// A lease must last for at least this many election timeouts: an election starts after up to two
/// of them and then takes a few round trips.
const MIN_ELECTIONS_PER_LEASE: u32 = 3;
/// An election timeout must last for at least this many heartbeat intervals, so that one late
/// heartbeat does not start an election.
const MIN_HEARTBEATS_PER_ELECTION: u32 = 3;

/// All that is held must be at least this many times what one caller may take of it, so that a few
/// do not end each other.
const MIN_CALLERS_HELD: usize = 8;
/// The size that the kernel starts a send buffer with where none is set, in bytes (tcp(7)).
const START_SOCKET_BUFFER: usize = 16 << 10;

impl SettingsReader {
    /// Reports listen addresses that are equal, unless the operating system picks the port (0).
    pub fn check_ports(&mut self, ports: &[SocketAddr]) {
        let names = ["callers", "operators", "peers"];
        for (i, a) in ports.iter().enumerate() {
            for (b, name) in ports.iter().zip(names).skip(i + 1) {
                if a == b && a.port() != 0 {
                    let text =
                        format!("{b} is also the address of '{}'; give another port", names[i]);
                    self.add_issue("listen", name, &text);
                }
            }
        }
    }

    /// Checks that the folder, or its nearest existing ancestor, is writable by writing and
    /// removing a probe file. Creates no folder.
    pub fn check_folder(&mut self, folder: Option<&Path>) {
        let Some(folder) = folder else { return };
        let Some(existing) = folder.ancestors().find(|path| path.exists()) else {
            let text = format!(
                "{} cannot be created: no parent folder exists; give another path",
                folder.display()
            );
            self.add_issue("vm", "data_folder", &text);
            return;
        };
        let probe = existing.join(format!(".write-probe-{:016x}", rand::random::<u64>()));
        let tried = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
        if let Err(cause) = tried {
            let text = format!(
                "{} cannot be written: {cause}; allowed: a folder that this user can write",
                folder.display()
            );
            self.add_issue("vm", "data_folder", &text);
        }
    }

    pub fn check_seeds(&mut self, seeds: &[SocketAddr]) {
        if seeds.is_empty() {
            let text =
                format!("required by a router to find the voters; give {ADDRESS_LIST_FORMAT}");
            self.add_issue("cluster", "seeds", &text);
        }
    }

    /// Checks that what one caller may take fits several times into all that is held. The kernel
    /// may take twice the size of a buffer.
    pub fn check_held(&mut self, held: usize, ahead: usize, socket_buffer: Option<usize>) {
        let socket_buffer = socket_buffer.unwrap_or(START_SOCKET_BUFFER);
        if held / MIN_CALLERS_HELD >= ahead + 2 * socket_buffer {
            return;
        }
        let text =
            format!("must be at least {MIN_CALLERS_HELD} times 'ahead' and twice 'socket_buffer'");
        self.add_issue("limits", "held", &text);
    }

    /// Checks that a lease survives the loss of one renewal.
    pub fn check_lease(&mut self, lease: Duration, renew: Duration) {
        if lease >= renew * MIN_RENEWALS_PER_LEASE {
            return;
        }
        let text = format!("must be at least {MIN_RENEWALS_PER_LEASE} times 'renew'");
        self.add_issue("lease", "duration", &text);
    }

    /// Checks that leases survive a change of leader and that elections tolerate a late heartbeat.
    pub fn check_election_timing(
        &mut self,
        lease: Duration,
        election: Duration,
        heartbeat: Duration,
    ) {
        if lease < election * MIN_ELECTIONS_PER_LEASE {
            let text = format!(
                "must be at least {MIN_ELECTIONS_PER_LEASE} times 'election' in [consensus], so that leases survive a leader failure"
            );
            self.add_issue("lease", "duration", &text);
        }
        if election < heartbeat * MIN_HEARTBEATS_PER_ELECTION {
            let text = format!("must be at least {MIN_HEARTBEATS_PER_ELECTION} times 'heartbeat'");
            self.add_issue("consensus", "election", &text);
        }
    }
}
