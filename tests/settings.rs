//! Settings files: all errors are reported at once, and docs/SETTINGS.md lists every key.

use rstest::rstest;
use samphireshift::settings::{KeySpec, Settings, SettingsIssue};

const VALID: &str = "
[vm]
name = entry-1
data_centre = perth-1
[listen]
callers = 10.0.0.1:8080
operators = 10.0.0.1:9000
peers = 10.0.0.1:7000
[cluster]
secret = a-long-secret
[operators]
token = a-long-token
[platform]
vm_list = http://10.0.9.9:80
";

/// Valid settings with one error inserted.
struct Case {
    find: &'static str,
    replace: &'static str,
    section: &'static str,
    key: &'static str,
    message: &'static str,
}

fn issues(text: &str) -> Vec<SettingsIssue> {
    Settings::parse("entry.ini", text).map_or_else(|errors| errors.0, |_| Vec::new())
}

#[rstest]
#[case::unknown_section(
    "[operators]",
    "[opera]\nx = 1\n[operators]",
    "opera",
    "",
    "allowed: cluster"
)]
#[case::unknown_key("name =", "nam = x\nname =", "vm", "nam", "allowed: data_centre, data_folder")]
#[case::key_before_sections("\n[vm]", "name = x\n[vm]", "", "name", "before any section")]
#[case::missing("name = entry-1", "", "vm", "name", "missing; give 1 to 64 letters")]
#[case::bad_name("entry-1", "entry 1", "vm", "name", "not a name; allowed: 1 to 64 letters")]
#[case::bad_address("10.0.0.1:8080", "perth", "listen", "callers", "an IP address and port")]
#[case::duplicate_address(
    "10.0.0.1:9000",
    "10.0.0.1:8080",
    "listen",
    "operators",
    "also the address of 'callers'"
)]
#[case::short_secret("a-long-secret", "short", "cluster", "secret", "at least 8 characters")]
#[case::short_token("a-long-token", "short", "operators", "token", "at least 8 characters")]
#[case::bad_number(
    "[cluster]",
    "[cluster]\nvoters = many",
    "cluster",
    "voters",
    "a number from 1 to 9"
)]
#[case::out_of_range(
    "[cluster]",
    "[cluster]\nvoters = 10",
    "cluster",
    "voters",
    "a number from 1 to 9"
)]
#[case::bad_peer(
    "[cluster]",
    "[cluster]\npeers = 10.0.0.2:1, x",
    "cluster",
    "peers",
    "'x' is not an address"
)]
#[case::no_unit("[platform]", "[platform]\npoll = 500", "platform", "poll", "in ms, s, m or h")]
#[case::unknown_unit("[platform]", "[platform]\npoll = 5d", "platform", "poll", "in ms, s, m or h")]
#[case::size_unit("[vm]", "[limits]\nbody = 5GB\n[vm]", "limits", "body", "in B, KiB or MiB")]
#[case::held_too_small(
    "[vm]",
    "[limits]\nheld = 8MiB\nahead = 1MiB\n[vm]",
    "limits",
    "held",
    "8 times 'ahead' and twice 'socket_buffer'"
)]
#[case::short_lease(
    "[vm]",
    "[lease]\nduration = 1800ms\nrenew = 700ms\n[vm]",
    "lease",
    "duration",
    "3 times 'renew'"
)]
#[case::lease_shorter_than_elections(
    "[vm]",
    "[consensus]\nelection = 1s\n[vm]",
    "lease",
    "duration",
    "3 times 'election'"
)]
#[case::late_heartbeat(
    "[vm]",
    "[consensus]\nheartbeat = 201ms\n[vm]",
    "consensus",
    "election",
    "3 times 'heartbeat'"
)]
#[case::bad_list(
    "http://10.0.9.9:80",
    "http://list",
    "platform",
    "vm_list",
    "an IP address and port"
)]
#[case::key_twice("name = entry-1", "name = a\nname = b", "vm", "name", "duplicate key")]
#[case::section_twice("[platform]", "[vm]\n[platform]", "vm", "", "duplicate section")]
#[case::data_folder_not_writable(
    "name =",
    "data_folder = /dev/null/x\nname =",
    "vm",
    "data_folder",
    "cannot be written"
)]
fn an_error_is_reported_with_file_section_key_and_allowed_values(
    #[case] find: &'static str,
    #[case] replace: &'static str,
    #[case] section: &'static str,
    #[case] key: &'static str,
    #[case] message: &'static str,
) {
    let case = Case { find, replace, section, key, message };
    assert_eq!(issues(VALID), []);
    let found = issues(&VALID.replacen(case.find, case.replace, 1));
    assert_eq!(found.len(), 1, "{found:?}");
    let issue = &found[0];
    assert_eq!((issue.section.as_str(), issue.key.as_str()), (case.section, case.key));
    assert!(issue.text.contains(case.message), "{issue}");
    assert!(issue.to_string().starts_with("entry.ini: ["), "{issue}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text =
        VALID.replace("10.0.0.1", "10.0.0").replace("entry-1", "?").replace("[vm]", "[vm]\nx = 1");
    let found = issues(&text);
    let places: Vec<_> = found.iter().map(|i| format!("{}.{}", i.section, i.key)).collect();
    assert_eq!(places, ["vm.name", "listen.callers", "listen.operators", "listen.peers", "vm.x"]);
}

#[rstest]
#[case::by_the_kernel("", None)]
#[case::as_set("[limits]\nsocket_buffer = 64KiB\n", Some(64 << 10))]
fn buffers_have_a_size_only_where_it_is_set(#[case] lines: &str, #[case] size: Option<usize>) {
    let settings = Settings::parse("entry.ini", &format!("{VALID}{lines}")).unwrap();
    assert_eq!(settings.socket_buffer, size);
}

#[test]
fn a_text_that_is_not_an_ini_file_is_reported() {
    let found = issues("[vm\nname");
    assert!(found[0].text.contains("not an INI file"), "{found:?}");
}

#[test]
fn checking_creates_no_folder() {
    let folder = std::env::temp_dir().join(format!("samphireshift-check-{}", std::process::id()));
    let line = format!("data_folder = {}/a/b\nname =", folder.display());
    assert_eq!(issues(&VALID.replacen("name =", &line, 1)), []);
    assert!(!folder.exists());
}

/// The rows of the tables in docs/SETTINGS.md.
fn documented_keys() -> Vec<KeySpec> {
    let rows = include_str!("../docs/SETTINGS.md").lines().filter(|line| line.starts_with("| `"));
    let cell = |text: &str| text.trim().trim_matches('`').to_owned();
    let row = |line: &str| {
        let cells: Vec<String> = line.trim_matches('|').split('|').map(cell).collect();
        assert!(cells.len() == 5 && !cells[4].is_empty(), "{line}");
        let [section, key, allowed, default] = [0, 1, 2, 3].map(|i| cells[i].clone());
        KeySpec { section, key, allowed, default }
    };
    rows.map(row).collect()
}

#[test]
fn every_key_is_documented_with_its_range_and_default() {
    let mut documented = documented_keys();
    documented.sort_by(|a, b| (&a.section, &a.key).cmp(&(&b.section, &b.key)));
    let keys = Settings::keys();
    let places = |list: &[KeySpec]| -> Vec<String> {
        list.iter().map(|spec| format!("{}.{}", spec.section, spec.key)).collect()
    };
    assert_eq!(places(&documented), places(&keys), "left: docs/SETTINGS.md, right: code");
    for (written, spec) in documented.iter().zip(&keys) {
        assert!(!written.allowed.is_empty() && !written.default.is_empty(), "{written:?}");
        if !spec.allowed.is_empty() {
            assert_eq!(written, spec, "left: docs/SETTINGS.md, right: code");
        }
    }
}
