//! Ports reserved for a test fleet are not assigned to other sockets before its daemons bind them.

mod env;

use env::setup::{ReservedPorts, loopback_address};
use std::net::{TcpListener, TcpStream};

#[test]
fn a_reserved_port_is_not_assigned_elsewhere_and_can_still_be_bound() {
    let ip = loopback_address(199);
    let reserved = ReservedPorts::reserve(ip, 6);
    let addresses: Vec<_> = (0..6).map(|index| reserved.address(index)).collect();
    let others: Vec<_> = (0..500).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
    for other in &others {
        assert!(!addresses.contains(&other.local_addr().unwrap()));
    }
    let target = others[0].local_addr().unwrap();
    let outgoing: Vec<_> = (0..100).map(|_| TcpStream::connect(target).unwrap()).collect();
    for stream in &outgoing {
        assert!(!addresses.contains(&stream.local_addr().unwrap()));
    }
    for address in addresses {
        TcpListener::bind(address).unwrap();
    }
}
