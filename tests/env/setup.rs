//! What a fleet's daemons need to start: addresses, settings, processes.

use super::process::{Process, programs};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};

pub fn spawn_daemon(settings: &Path) -> Process {
    let log = settings.with_extension("log");
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new(programs().join("samphireshiftd"));
    command.arg("--settings").arg(settings).stderr(Stdio::from(log));
    Process::spawn(&mut command)
}

/// A loopback address of this fleet's own, so that ports found free stay so.
pub fn own_address(number: u32) -> IpAddr {
    let id = std::process::id();
    let [_, _, high, low] = id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 10 + (number % 200) as u8, high, low.max(1)))
}

pub fn free_ports(ip: IpAddr, count: usize) -> Vec<[SocketAddr; 3]> {
    let bind = |_| TcpListener::bind((ip, 0)).expect("a free port");
    let listeners: Vec<[TcpListener; 3]> = (0..count).map(|_| [0; 3].map(bind)).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("its address");
    listeners.iter().map(|three| three.each_ref().map(address)).collect()
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
