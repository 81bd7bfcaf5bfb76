/// Description of one key that a settings file may hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeySpec {
    /// Section of the INI file.
    pub section: String,
    /// Name of the key within its section.
    pub key: String,
    /// Allowed values, with range and units; empty if the configured role does not
    /// need the key.
    pub allowed: String,
    /// Value used if the key is omitted, or `none`, or `required`.
    pub default: String,
}

impl KeySpec {
    /// Creates the description of a key whose allowed values and default are not known yet.
    pub(super) fn new(section: &str, key: &str) -> Self {
        let (section, key) = (section.to_owned(), key.to_owned());
        Self { section, key, allowed: String::new(), default: String::new() }
    }
}
