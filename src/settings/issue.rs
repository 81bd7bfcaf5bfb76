use std::fmt;

/// One fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsIssue {
    /// The file as it was named.
    pub file: String,
    /// The section.
    pub section: String,
    /// The key; empty where the whole section is at fault.
    pub key: String,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl fmt::Display for SettingsIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.is_empty() {
            true => write!(f, "{}: [{}]: {}", self.file, self.section, self.text),
            false => write!(f, "{}: [{}] {}: {}", self.file, self.section, self.key, self.text),
        }
    }
}

/// All faults of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsIssue>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, issue) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{issue}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
