use serde::Serialize;
use serde_json::Value;
use std::fmt;

/// How an entry differs from the version in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The version in force does not have it.
    Added,
    /// Only the version in force has it.
    Removed,
    /// Both have it, with other contents.
    Changed,
    /// It may differ: the daemon does not tell its contents in force.
    Unknown,
}

impl Change {
    fn as_str(self) -> &'static str {
        match self {
            Change::Added => "added",
            Change::Removed => "removed",
            Change::Changed => "changed",
            Change::Unknown => "may differ; the daemon does not tell what is in force",
        }
    }
}

/// An entry that differs from the version in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// What kind of entry, and its name.
    pub entry: String,
    /// How it differs.
    pub change: Change,
    /// The fields that differ; empty unless the entry is changed.
    pub fields: Vec<FieldDifference>,
}

/// A field that differs from the version in force.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldDifference {
    /// The name of the field.
    pub field: String,
    /// The value in force; null if the field is left out.
    pub before: Value,
    /// The value in the file; null if the field is left out.
    pub after: Value,
}

impl Difference {
    /// An entry without fields to show.
    pub fn whole(entry: String, change: Change) -> Self {
        Self { entry, change, fields: Vec::new() }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.entry, self.change.as_str())?;
        for (i, FieldDifference { field, before, after }) in self.fields.iter().enumerate() {
            let separator = if i == 0 { ": " } else { ", " };
            write!(f, "{separator}{field} {before} -> {after}")?;
        }
        Ok(())
    }
}
