/// What one key of a settings file may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySpec {
    /// The section.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is allowed, with its range and units.
    pub allowed: String,
    /// The value of a key that is left out: a value, `none` or `required`.
    pub default: String,
}

impl KeySpec {
    /// A key of which nothing else is known.
    pub(super) fn new(section: &str, key: &str) -> Self {
        let (section, key) = (section.to_owned(), key.to_owned());
        Self { section, key, allowed: String::new(), default: String::new() }
    }
}
