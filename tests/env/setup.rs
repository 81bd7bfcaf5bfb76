//! Addresses, ports, settings and processes for the daemons of a fleet.

use super::process::{Process, program_dir};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Command, Stdio};

/// Starts a daemon that appends its log to a file beside its settings, with the extension `log`.
pub fn spawn_daemon(settings: &Path) -> Process {
    let log = settings.with_extension("log");
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log file can be opened");
    let mut command = Command::new(program_dir().join("samphireshiftd"));
    command.arg("--settings").arg(settings).stderr(Stdio::from(log));
    Process::spawn(&mut command)
}

/// A loopback address derived from the process id and the number of the fleet, so that fleets that
/// run at the same time do not share one.
pub fn loopback_address(number: u32) -> IpAddr {
    let id = std::process::id();
    let [_, _, high, low] = id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (number % 200) as u8, high, low))
}

/// TCP ports that stay reserved until this is dropped. Its sockets are bound but do not listen, so
/// the system assigns their ports neither to another fleet nor to an outgoing connection. A daemon
/// can still bind such a port explicitly, because both set `SO_REUSEADDR`.
#[derive(Debug)]
pub struct ReservedPorts {
    sockets: Vec<Socket>,
}

impl ReservedPorts {
    /// Reserves `count` free ports of an address.
    pub fn reserve(ip: IpAddr, count: usize) -> Self {
        let reserve = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&SocketAddr::new(ip, 0).into())?;
            Ok(socket)
        };
        let sockets: io::Result<Vec<Socket>> = (0..count).map(reserve).collect();
        Self { sockets: sockets.expect("enough ports are free") }
    }

    /// The address of the reserved port with the given index.
    pub fn address(&self, index: usize) -> SocketAddr {
        let address = self.sockets[index].local_addr().expect("the socket has an address");
        address.as_socket().expect("the socket has an IP address")
    }
}

/// Formats (section, key, value) triples as an INI file.
pub fn format_ini(values: &[(&str, &str, String)]) -> String {
    let mut sections: Vec<&str> = values.iter().map(|(section, _, _)| *section).collect();
    sections.sort_unstable();
    sections.dedup();
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("[{section}]\n"));
        for (_, key, value) in values.iter().filter(|(s, _, _)| *s == section) {
            text.push_str(&format!("{key} = {value}\n"));
        }
    }
    text
}
