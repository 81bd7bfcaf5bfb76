//! No dependency may run code before `main`: a library that calibrates a clock there keeps the CPU
//! busy at every start of a daemon for as long as the clock of the VM is unstable.

use rstest::rstest;
use std::path::Path;

#[rstest]
#[case::constructors("ctor")]
#[case::small_constructors("small_ctor")]
#[case::calibrated_clock("fastant")]
#[case::tracing_with_that_clock("fastrace")]
fn no_dependency_runs_code_before_main(#[case] package: &str) {
    let lock = Path::new(env!("CARGO_MANIFEST_DIR")).join("Cargo.lock");
    let text = std::fs::read_to_string(lock).expect("Cargo.lock can be read");
    let entry = format!("name = \"{package}\"");

    assert!(
        !text.lines().any(|line| line == entry),
        "Cargo.lock contains {package}; run `cargo tree -i {package}` to see which package depends on it"
    );
}
