//! The VM list as other writers may leave it.

use rstest::rstest;
use samphireshift::backend::ConnectionPool;
use samphireshift::event::Journal;
use samphireshift::name::VmName;
use samphireshift::settings::VmListSource;
use samphireshift::vms::VmList;
use std::sync::Arc;
use std::time::Duration;

/// Guards against an odd entry by another writer that hides all others.
#[rstest]
#[case::deeply_nested(format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::number_too_large(r#"{"vm":"x","slots":1e999}"#.to_owned())]
#[case::port_out_of_range(entry("x", 70_000))]
#[tokio::test]
async fn an_odd_entry_in_the_list_hides_no_other(#[case] odd: String) {
    let name = format!("samphireshift-vms-{}-{}", std::process::id(), odd.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, format!("[{},{odd},{}]", entry("a", 1), entry("b", 2))).unwrap();
    let connections = Arc::new(ConnectionPool::new(Duration::from_millis(100)));
    let journal = Arc::new(Journal::in_memory(VmName::new("test")));
    let source = VmListSource::File(path.clone());
    let list = VmList::spawn(source, Duration::from_secs(60), connections, journal).await;
    std::fs::remove_file(path).unwrap();
    assert!(list.is_live(&VmName::new("a")) && list.is_live(&VmName::new("b")));
}

fn entry(name: &str, port: u32) -> String {
    format!(
        r#"{{"vm":"{name}","address":"127.0.0.1:{port}","data_centre":"dc","pool":"p","state":"live"}}"#
    )
}
