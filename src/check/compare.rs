use super::hidden::HIDDEN;
use super::{Change, Difference, FieldDifference};
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A list of a configuration, whose entries are told apart by some of their fields.
#[derive(Debug, Clone, Copy)]
pub struct ListSpec {
    /// The name of the list.
    pub list: &'static str,
    /// What an entry is called in texts.
    pub what: &'static str,
    /// The fields that name an entry.
    pub keys: &'static [&'static str],
    /// Fields whose values are not shown.
    pub secret: &'static [&'static str],
}

/// The entries of one list that differ between the version in force and the file, by name. Entries with
/// the same name are compared in their order.
pub fn compare_lists(spec: &ListSpec, before: &Value, after: &Value) -> Vec<Difference> {
    let (old, new) = (entries(spec, before), entries(spec, after));
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let compare = |name: &(String, usize)| {
        let entry = format!("{} {}", spec.what, name.0);
        match (old.get(name), new.get(name)) {
            (None, _) => Some(Difference::whole(entry, Change::Added)),
            (_, None) => Some(Difference::whole(entry, Change::Removed)),
            (Some(old), Some(new)) => compare_objects(entry, old, new, spec.secret),
        }
    };
    names.into_iter().filter_map(compare).collect()
}

/// How an object of the file differs from the one in force; `None` if it does not.
pub fn compare_objects(
    entry: String,
    before: &Value,
    after: &Value,
    secret: &[&str],
) -> Option<Difference> {
    let (old, new) = match (before.as_object(), after.as_object()) {
        (Some(old), Some(new)) => (old, new),
        (None, Some(_)) => return Some(Difference::whole(entry, Change::Added)),
        (Some(_), None) => return Some(Difference::whole(entry, Change::Removed)),
        (None, None) => return None,
    };
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let value = |object: &Map<String, Value>, name: &str| match object.get(name) {
        Some(_) if secret.contains(&name) => Value::from(HIDDEN),
        Some(value) => value.clone(),
        None => Value::Null,
    };
    let differs = |name: &&String| old.get(*name) != new.get(*name);
    let field = |name: &String| FieldDifference {
        field: name.clone(),
        before: value(old, name),
        after: value(new, name),
    };
    let fields: Vec<_> = names.into_iter().filter(differs).map(field).collect();
    match fields.is_empty() {
        true => None,
        false => Some(Difference { entry, change: Change::Changed, fields }),
    }
}

/// The entries of a list by name, and by their order among those of the same name.
fn entries<'a>(spec: &ListSpec, document: &'a Value) -> BTreeMap<(String, usize), &'a Value> {
    let mut found = BTreeMap::new();
    for entry in document[spec.list].as_array().into_iter().flatten() {
        let texts: Vec<&str> =
            spec.keys.iter().map(|key| entry[*key].as_str().unwrap_or_default()).collect();
        let name = texts.join(" ");
        let same = (0..).find(|order| !found.contains_key(&(name.clone(), *order))).unwrap_or(0);
        found.insert((name, same), entry);
    }
    found
}
