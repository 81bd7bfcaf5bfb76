use std::collections::HashMap;
use std::str::FromStr;

/// The kind of fake and its `--name=value` arguments.
#[derive(Debug, Default)]
pub struct FakeOptions {
    /// Which fake to run: `engine`, `service`, `rating` or `vms`.
    pub kind: String,
    values: HashMap<String, String>,
}

impl FakeOptions {
    /// Parses the command line; the last argument that is not `--name=value` is the kind.
    pub fn from_env() -> Self {
        let mut options = Self::default();
        for argument in std::env::args().skip(1) {
            match argument.strip_prefix("--").and_then(|rest| rest.split_once('=')) {
                Some((name, value)) => {
                    options.values.insert(name.to_owned(), value.to_owned());
                }
                None => options.kind = argument,
            }
        }
        options
    }

    /// Value of an option; the default if it is missing or does not parse.
    pub fn get<T>(&self, name: &str, default: T) -> T
    where
        T: FromStr,
    {
        self.values.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }
}
