use super::{Difference, Finding};
use crate::error::Error;
use serde::Serialize;

/// The error of a check that cannot ask for the version in force.
pub fn cannot_compare(cause: Error) -> Error {
    let message = format!("{cause}; or leave the comparison out with --offline");
    Error::CannotCheck { message }
}

/// The format of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigFormat {
    /// A ticket, as JSON.
    Ticket,
    /// The settings of a daemon, an INI file.
    Settings,
    /// A document that an adapter reads a route table from.
    Routes,
    /// JSON that is neither a ticket nor a route table.
    Unknown,
}

/// The result of the check of one file. Its JSON keeps its shape: fields are added only.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Path of the file.
    pub file: String,
    /// The format in which it was read.
    pub format: ConfigFormat,
    /// What was found.
    pub findings: Vec<Finding>,
    /// The revision, or the number of the table, that the file was compared with; `None` if it was not
    /// compared or nothing is in force yet.
    pub in_force: Option<u64>,
    /// How it differs from the version in force; `None` if it was not compared.
    pub differences: Option<Vec<Difference>>,
}

impl Report {
    /// The report of a file that was not compared with the version in force.
    pub fn new(file: String, format: ConfigFormat, findings: Vec<Finding>) -> Self {
        Self { file, format, findings, in_force: None, differences: None }
    }

    /// Whether the file can be read, so that it can be compared.
    pub fn is_readable(&self) -> bool {
        self.findings.iter().all(|finding| finding.place.column.is_none())
    }

    /// Prints the report.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).expect("reports always serialise"));
            return;
        }
        let file = &self.file;
        self.findings.iter().for_each(|finding| println!("{file}: {finding}"));
        if self.findings.is_empty() {
            println!("{file}: nothing found");
        }
        let compared = match self.in_force {
            Some(number) => format!("differs from {number}, which is in force"),
            None => "differs; nothing is in force yet".to_owned(),
        };
        for difference in self.differences.iter().flatten() {
            println!("{file}: {compared}: {difference}");
        }
        match &self.differences {
            None if self.format == ConfigFormat::Settings => {}
            None => println!("{file}: not compared with the version in force"),
            Some(all) if all.is_empty() => println!("{file}: as in force"),
            Some(_) => {}
        }
    }

    /// The end of the command. With `same`, differences count too.
    ///
    /// # Errors
    /// [`Error::Findings`] if there are any that count.
    pub fn conclude(&self, same: bool) -> Result<(), Error> {
        let findings = self.findings.iter().filter(|finding| finding.is_sure()).count();
        let differences = self.differences.as_ref().map_or(0, Vec::len);
        match findings > 0 || (same && differences > 0) {
            false => Ok(()),
            true => {
                let file = &self.file;
                let message = format!(
                    "{file}: findings: {findings}, differences: {differences}; nothing was changed"
                );
                Err(Error::Findings { message })
            }
        }
    }
}
