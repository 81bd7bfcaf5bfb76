//! The example settings files.

use rstest::rstest;
use samphireshift::policy::Weights;
use samphireshift::settings::Settings;

#[rstest]
#[case::karri_lane("karri-lane", Weights { cost: 1, latency: 1, exposure: 3 })]
#[case::vanrajvadi("vanrajvadi", Weights { cost: 2, latency: 3, exposure: 1 })]
fn an_example_file_is_valid_and_has_its_weights(#[case] name: &str, #[case] expected: Weights) {
    let path = format!("{}/examples/settings/{name}.ini", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let folder = std::env::temp_dir().join(format!("samphireshift-{name}-{}", std::process::id()));
    let text = text.replace("/var/lib/samphireshift", &folder.display().to_string());
    let settings = Settings::parse(&path, &text);
    // Best effort: parsing the settings does not create the folder.
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(settings.unwrap().weights, expected);
}
