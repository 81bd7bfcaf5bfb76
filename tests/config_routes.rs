//! `samphireshift config check` gives route tables to the adapter's program beside it.
//!
//! It has a process to itself: the programs are written and then run, and a child that another test starts
//! meanwhile would hold them open for writing.

mod env;

use env::process::program_dir;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A folder that is removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("samphireshift-config-routes-{id}-{name}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        Self(folder)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A temporary folder that is left behind does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Standard output followed by standard error.
fn text(output: &Output) -> String {
    let all = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8_lossy(&all).into_owned()
}

/// Route tables are checked by the adapter's program beside the tool, with the same options.
#[test]
fn a_route_table_is_given_to_the_program_of_the_adapter() {
    let folder = Folder::new("adapter");
    let tool = folder.0.join("samphireshift");
    std::fs::copy(program_dir().join("samphireshift"), &tool).expect("the tool can be copied");
    let table = folder.write("table", r#"{ "routes": [] }"#);
    let check = || {
        let mut command = Command::new(&tool);
        command.args(["--json", "--operator", "127.0.0.1:1", "config", "check", "--same"]);
        command.args(["--settings", "a.ini", "--routers", "7"]).arg(&table);
        command.output().expect("it runs")
    };
    let missing = check();
    assert_eq!(missing.status.code(), Some(2), "{}", text(&missing));
    assert!(text(&missing).contains("install it beside this tool"), "{}", text(&missing));
    let program = folder.write("samphireshift-check-routes", "#!/bin/sh\necho \"$@\"\nexit 1\n");
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).expect("it can run");
    let found = check();
    let expected = format!(
        "--operator 127.0.0.1:1 --json --same --settings a.ini --routers 7 -- {}\n",
        table.display()
    );
    assert_eq!((found.status.code(), text(&found)), (Some(1), expected));
}
