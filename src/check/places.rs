use serde::Serialize;
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;

/// Where in a file something stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Place {
    /// The entry, such as `routes[2]`; empty for the whole file.
    #[serde(rename = "place")]
    pub path: String,
    /// The line on which the entry begins, from 1, if it is known.
    pub line: Option<usize>,
    /// The column, from 1, or 0 for the start of a line; known for texts that cannot be read only.
    pub column: Option<usize>,
}

impl Place {
    /// An entry whose line is not known.
    pub fn of_entry<S>(path: S) -> Self
    where
        S: Into<String>,
    {
        Self { path: path.into(), ..Self::default() }
    }

    /// Where a text could not be read.
    pub fn of_json(error: &serde_json::Error) -> Self {
        let (line, column) = (Some(error.line()), Some(error.column()));
        Self { path: String::new(), line, column }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (Some(line), Some(column)) => write!(f, "line {line}, column {column}")?,
            (Some(line), None) => write!(f, "line {line}")?,
            (None, _) if self.path.is_empty() => return f.write_str("the whole file"),
            (None, _) => return f.write_str(&self.path),
        }
        match self.path.is_empty() {
            true => Ok(()),
            false => write!(f, ", {}", self.path),
        }
    }
}

/// The places of the entries of a JSON document.
#[derive(Debug)]
pub struct Places<'a> {
    text: &'a str,
    fields: BTreeMap<String, &'a RawValue>,
}

impl<'a> Places<'a> {
    /// Reads where the fields of a document are. No line is known if it is not a JSON object.
    ///
    /// ```
    /// use samphireshift::check::Places;
    /// let places = Places::of("{\n \"a\": [1,\n 2] }");
    /// assert_eq!(places.item("a", 1).to_string(), "line 3, a[1]");
    /// ```
    pub fn of(text: &'a str) -> Self {
        // Whoever checks the document has already reported a text that is no object.
        Self { text, fields: serde_json::from_str(text).unwrap_or_default() }
    }

    /// The place of an item of a list.
    pub fn item(&self, list: &str, index: usize) -> Place {
        let path = format!("{list}[{index}]");
        Place { path, line: self.item_line(list, index), column: None }
    }

    /// The place of a field.
    pub fn field(&self, name: &str) -> Place {
        let line = self.fields.get(name).map(|value| self.line_of(value));
        Place { path: name.to_owned(), line, column: None }
    }

    fn item_line(&self, list: &str, index: usize) -> Option<usize> {
        let items: Vec<&'a RawValue> = serde_json::from_str(self.fields.get(list)?.get()).ok()?;
        items.get(index).map(|item| self.line_of(item))
    }

    /// The values lie in the text itself, so their addresses tell where.
    fn line_of(&self, value: &RawValue) -> usize {
        let offset = value.get().as_ptr().addr().saturating_sub(self.text.as_ptr().addr());
        let before = self.text.as_bytes().get(..offset).unwrap_or_default();
        1 + memchr::memchr_iter(b'\n', before).count()
    }
}
