//! Child processes that are killed when their handles are dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The target folder of the current profile, which holds the programs under test.
pub fn program_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the running program has a path");
    let folder = exe.parent().expect("the running program is in a folder");
    match folder.ends_with("deps") || folder.ends_with("examples") {
        true => folder.parent().expect("the folder is within that of a profile").to_path_buf(),
        false => folder.to_path_buf(),
    }
}

/// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`, to a process that this test
/// has started.
pub fn signal(pid: u32, name: &str) {
    let status = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(status.expect("`kill` can be run").success());
}

/// A child process; dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    pub fn spawn(command: &mut Command) -> Self {
        Self { child: command.spawn().expect("the program can be started") }
    }

    /// Starts the example program `fake` and returns the address that it prints once it listens.
    pub fn spawn_fake(kind: &str, arguments: &[&str]) -> (Self, SocketAddr) {
        let program = program_dir().join("examples").join("fake");
        let mut command = Command::new(program);
        command.arg(kind).args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the fake can be started");
        let mut line = String::new();
        let output = child.stdout.take().expect("the output of the fake is piped");
        BufReader::new(output).read_line(&mut line).expect("the fake prints its address");
        let address = line.trim().strip_prefix("listening ").expect("the fake prints its address");
        (Self { child }, address.parse().expect("the fake prints a valid address"))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        signal(self.child.id(), name);
    }

    /// Waits until the process ends; returns its exit code, or `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the process can be waited for").code()
    }

    /// Whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the status of the process can be read").is_none()
    }

    pub fn kill(&mut self) {
        // Fails if the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
