//! The ready settings files of the two users.

use rstest::rstest;
use samphireshift::policy::Weights;
use samphireshift::settings::Settings;

#[rstest]
#[case::karri_lane("karri-lane", Weights { cost: 1, latency: 1, exposure: 3 })]
#[case::vanrajvadi("vanrajvadi", Weights { cost: 2, latency: 3, exposure: 1 })]
fn an_example_file_is_accepted_and_carries_its_weights(
    #[case] name: &str,
    #[case] expected: Weights,
) {
    let path = format!("{}/examples/settings/{name}.ini", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).unwrap();
    let folder = std::env::temp_dir().join(format!("samphireshift-{name}-{}", std::process::id()));
    let text = text.replace("/var/lib/samphireshift", &folder.display().to_string());
    let settings = Settings::parse(&path, &text);
    // A folder that was never made need not be removed.
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(settings.unwrap().weights, expected);
}
