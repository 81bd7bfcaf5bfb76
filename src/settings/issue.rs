use std::fmt;

/// One error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsIssue {
    /// Path of the file, as the user gave it.
    pub file: String,
    /// Section of the INI file; empty for errors outside of any section.
    pub section: String,
    /// Key; empty if the error concerns the whole section or file.
    pub key: String,
    /// What is wrong and which values are allowed.
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

/// All errors of a settings file, displayed one per line.
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
