use std::collections::HashMap;
use std::str::FromStr;

/// The kind of fake and its `--name=value` arguments.
#[derive(Debug, Default)]
pub struct Options {
    /// Which fake.
    pub kind: String,
    values: HashMap<String, String>,
}

impl Options {
    /// Reads the process's arguments.
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

    /// An argument, or its default.
    pub fn get<T>(&self, name: &str, default: T) -> T
    where
        T: FromStr,
    {
        self.values.get(name).and_then(|text| text.parse().ok()).unwrap_or(default)
    }
}
