//! What a fleet's daemons need to start: addresses, settings, processes.

use super::process::{Process, programs};
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Command, Stdio};

pub fn spawn_daemon(settings: &Path) -> Process {
    let log = settings.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new(programs().join("samphireshiftd"));
    command.arg("--settings").arg(settings).stderr(Stdio::from(log));
    Process::spawn(&mut command)
}

/// A loopback address of this fleet's own.
pub fn own_address(number: u32) -> IpAddr {
    let id = std::process::id();
    let [_, _, high, low] = id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (number % 200) as u8, high, low.max(1)))
}

/// Ports that stay reserved while this lives. Its sockets are bound but do not listen: the system
/// gives their ports to nobody, neither to another fleet nor to an outgoing connection, while a
/// daemon that names one may bind it, as both set `SO_REUSEADDR`.
#[derive(Debug)]
pub struct HeldPorts {
    sockets: Vec<Socket>,
}

impl HeldPorts {
    pub fn open(ip: IpAddr, count: usize) -> Self {
        let open = |_| {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&SocketAddr::new(ip, 0).into())?;
            Ok(socket)
        };
        let sockets: io::Result<Vec<Socket>> = (0..count).map(open).collect();
        Self { sockets: sockets.expect("free ports") }
    }

    pub fn address(&self, at: usize) -> SocketAddr {
        let address = self.sockets[at].local_addr().expect("its address");
        address.as_socket().expect("an IP address")
    }
}

pub fn ini(values: &[(&str, &str, String)]) -> String {
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
