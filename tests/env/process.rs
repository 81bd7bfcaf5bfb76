//! A child process that is ended, by id, when its handle goes.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The folder that holds the programs under test.
pub fn programs() -> PathBuf {
    let exe = std::env::current_exe().expect("this program has a path");
    let folder = exe.parent().expect("programs are in a folder");
    match folder.ends_with("deps") || folder.ends_with("examples") {
        true => folder.parent().expect("a profile's folder").to_path_buf(),
        false => folder.to_path_buf(),
    }
}

/// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`, to a process of this test.
pub fn signal(id: u32, name: &str) {
    let done = Command::new("kill").args([&format!("-{name}"), &id.to_string()]).status();
    assert!(done.expect("kill can be run").success());
}

#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    pub fn spawn(command: &mut Command) -> Self {
        Self { child: command.spawn().expect("the program can be started") }
    }

    /// Starts a fake and reads the address that it prints.
    pub fn fake(kind: &str, arguments: &[&str]) -> (Self, SocketAddr) {
        let program = programs().join("examples").join("fake");
        let mut command = Command::new(program);
        command.arg(kind).args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the fake can be started");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output is piped");
        BufReader::new(output).read_line(&mut line).expect("it prints its address");
        let address = line.trim().strip_prefix("listening ").expect("it prints its address");
        (Self { child }, address.parse().expect("an address"))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Waits until it ends; its exit code, or `None` where a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("a child can be waited for").code()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child can be looked at").is_none()
    }

    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
