use super::issue::{SettingsErrors, SettingsIssue};
use super::key::KeySpec;
use super::unit::{parse_duration, parse_size};
use super::{Role, Settings, VmListSource};
use crate::name::is_label;
use crate::policy::{BalancePolicy, PlacementPolicy};
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

const MIN_SECRET_BYTES: usize = 8;
const ADDRESS_FORMAT: &str = "an IP address and port, such as 10.0.0.5:8080";
/// Placeholder for an address that is missing, invalid or not needed by the role.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
pub(super) const ADDRESS_LIST_FORMAT: &str = "IP addresses and ports, separated by commas";
/// Reads typed values from an INI file and collects all errors instead of stopping at the first.
///
/// A value that is invalid, or required but missing, is reported and replaced by its default or a
/// placeholder.
pub struct SettingsReader {
    file: String,
    ini: Ini,
    known_keys: BTreeMap<(String, String), KeySpec>,
    issues: Vec<SettingsIssue>,
}

impl SettingsReader {
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let parsed = Ini::load_from_str(text);
        let ini = parsed.map_err(|cause| {
            let text = format!("not an INI file: {cause}");
            let issue = issue(file, "", "", &text);
            SettingsErrors(vec![issue])
        })?;
        Ok(Self { file: file.to_owned(), ini, known_keys: BTreeMap::new(), issues: Vec::new() })
    }

    pub(super) fn add_issue(&mut self, section: &str, key: &str, text: &str) {
        let issue = issue(&self.file, section, key, text);
        self.issues.push(issue);
    }

    /// Returns the trimmed value of a key, if it is set, and registers the key as known.
    pub fn get(&mut self, section: &str, key: &str) -> Option<String> {
        let id = (section.to_owned(), key.to_owned());
        self.known_keys.entry(id).or_insert_with(|| KeySpec::new(section, key));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    /// Registers the allowed values and the default of a key, for [`Settings::keys`].
    pub(super) fn describe(&mut self, section: &str, key: &str, allowed: &str, default: &str) {
        let id = (section.to_owned(), key.to_owned());
        let spec = KeySpec { allowed: allowed.to_owned(), ..KeySpec::new(section, key) };
        self.known_keys.insert(id, KeySpec { default: default.to_owned(), ..spec });
    }

    /// Returns every key that was read.
    pub fn keys(&self) -> Vec<KeySpec> {
        self.known_keys.values().cloned().collect()
    }

    fn required(&mut self, section: &str, key: &str, allowed: &str) -> Option<String> {
        self.describe(section, key, allowed, "required");
        let value = self.get(section, key);
        if value.is_none() {
            self.add_issue(section, key, &format!("missing; give {allowed}"));
        }
        value
    }

    pub fn name(&mut self, section: &str, key: &str) -> String {
        let allowed = "1 to 64 letters, digits, '-', '_' or '.'";
        let Some(value) = self.required(section, key, allowed) else { return String::new() };
        if !is_label(&value) {
            self.add_issue(section, key, &format!("'{value}' is not a name; allowed: {allowed}"));
        }
        value
    }

    pub fn secret(&mut self, section: &str, key: &str) -> String {
        let allowed = "at least 8 characters";
        let Some(value) = self.required(section, key, allowed) else { return String::new() };
        if value.len() < MIN_SECRET_BYTES {
            self.add_issue(section, key, &format!("too short; allowed: {allowed}"));
        }
        value
    }

    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let Some(value) = self.required(section, key, ADDRESS_FORMAT) else {
            return UNUSED_ADDRESS;
        };
        self.parse_address(section, key, &value).unwrap_or(UNUSED_ADDRESS)
    }

    /// Reads an address that is required if `needed`, and optional otherwise.
    pub fn address_if(&mut self, needed: bool, section: &str, key: &str) -> SocketAddr {
        match needed {
            true => self.address(section, key),
            false => self.optional_address(section, key).unwrap_or(UNUSED_ADDRESS),
        }
    }

    pub fn optional_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.describe(section, key, ADDRESS_FORMAT, "none");
        let value = self.get(section, key)?;
        self.parse_address(section, key, &value)
    }

    /// Reads a secret that is required if `needed`, and optional otherwise.
    pub fn secret_if(&mut self, needed: bool, section: &str, key: &str) -> String {
        match needed {
            true => self.secret(section, key),
            false => self.get(section, key).unwrap_or_default(),
        }
    }

    pub fn role(&mut self, section: &str, key: &str) -> Role {
        let allowed = "all, router or voter";
        self.describe(section, key, allowed, "all");
        let Some(value) = self.get(section, key) else { return Role::All };
        match value.as_str() {
            "all" => Role::All,
            "router" => Role::Router,
            "voter" => Role::Voter,
            _ => {
                self.add_issue(section, key, &format!("'{value}' is not allowed; give {allowed}"));
                Role::All
            }
        }
    }

    pub fn boolean(&mut self, section: &str, key: &str) -> bool {
        self.describe(section, key, "true or false", "false");
        match self.get(section, key).as_deref() {
            None | Some("false") => false,
            Some("true") => true,
            Some(value) => {
                let text = format!("'{value}' is not allowed; give true or false");
                self.add_issue(section, key, &text);
                false
            }
        }
    }

    /// A key that is `on` or `off`; without it, `off`.
    pub fn switch(&mut self, section: &str, key: &str) -> bool {
        self.describe(section, key, "on or off", "off");
        match self.get(section, key).as_deref() {
            None | Some("off") => false,
            Some("on") => true,
            Some(value) => {
                let text = format!("'{value}' is not allowed; give on or off");
                self.add_issue(section, key, &text);
                false
            }
        }
    }

    pub fn decimal(&mut self, section: &str, key: &str, default: f64, low: f64, high: f64) -> f64 {
        let allowed = format!("a number from {low} to {high}, with decimals");
        self.describe(section, key, &allowed, &default.to_string());
        let Some(value) = self.get(section, key) else { return default };
        match value.parse::<f64>() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                let text = format!("'{value}' is not allowed; give {allowed}");
                self.add_issue(section, key, &text);
                default
            }
        }
    }

    /// Reads an optional path of a folder; [`Self::check_folder`] validates it.
    pub fn folder(&mut self, section: &str, key: &str) -> Option<PathBuf> {
        self.describe(section, key, "the path of a folder that can be written", "none");
        self.get(section, key).map(PathBuf::from)
    }

    fn parse_address(&mut self, section: &str, key: &str, value: &str) -> Option<SocketAddr> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.add_issue(
                section,
                key,
                &format!("'{value}' is not an address; allowed: {ADDRESS_FORMAT}"),
            );
        }
        parsed
    }

    pub fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        self.describe(section, key, ADDRESS_LIST_FORMAT, "none");
        let Some(value) = self.get(section, key) else { return Vec::new() };
        let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse_address(section, key, part)).collect()
    }

    pub fn number(&mut self, section: &str, key: &str, default: u64, low: u64, high: u64) -> u64 {
        let allowed = format!("a number from {low} to {high}");
        self.describe(section, key, &allowed, &default.to_string());
        let Some(value) = self.get(section, key) else { return default };
        match value.parse::<u64>() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                let text = format!("'{value}' is not allowed; give {allowed}");
                self.add_issue(section, key, &text);
                default
            }
        }
    }

    pub fn duration(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
        low: &str,
        high: &str,
    ) -> Duration {
        let allowed = format!("a time from {low} to {high} in ms, s, m or h");
        self.value_in_range(section, key, [default, low, high], parse_duration, &allowed)
    }

    /// Reads a time that is `other` without the key, as `default` says.
    pub fn duration_or(
        &mut self,
        [section, key]: [&str; 2],
        (default, other): (&str, Duration),
        low: &str,
        high: &str,
    ) -> Duration {
        let is_given = self.get(section, key).is_some();
        let given = self.duration(section, key, low, low, high);
        let allowed = format!("a time from {low} to {high} in ms, s, m or h");
        self.describe(section, key, &allowed, default);
        if is_given { given } else { other }
    }

    pub fn size(
        &mut self,
        section: &str,
        key: &str,
        default: &str,
        low: &str,
        high: &str,
    ) -> usize {
        let allowed = format!("a size from {low} to {high} in B, KiB or MiB");
        self.value_in_range(section, key, [default, low, high], parse_size, &allowed)
    }

    pub fn optional_size(
        &mut self,
        section: &str,
        key: &str,
        low: &str,
        high: &str,
    ) -> Option<usize> {
        let is_given = self.get(section, key).is_some();
        let given = self.size(section, key, low, low, high);
        let allowed = format!("a size from {low} to {high} in B, KiB or MiB");
        self.describe(section, key, &allowed, "none");
        is_given.then_some(given)
    }

    /// Reads a value with a unit; `values` are its default, minimum and maximum.
    fn value_in_range<T>(
        &mut self,
        section: &str,
        key: &str,
        values: [&str; 3],
        parse: fn(&str) -> Option<T>,
        allowed: &str,
    ) -> T
    where
        T: PartialOrd + Default,
    {
        let [default, low, high] = values;
        self.describe(section, key, allowed, default);
        let value = self.get(section, key).unwrap_or_else(|| default.to_owned());
        let parsed = parse(&value).filter(|_| parse(low) <= parse(&value));
        if let Some(parsed) = parsed.filter(|parsed| Some(parsed) <= parse(high).as_ref()) {
            return parsed;
        }
        self.add_issue(section, key, &format!("'{value}' is not allowed; give {allowed}"));
        parse(default).unwrap_or_default()
    }

    /// Reads the source of the VM list, which is required if `needed`.
    pub fn vm_list(&mut self, needed: bool, section: &str, key: &str) -> VmListSource {
        let allowed = "an address to query (http://10.0.0.9:7000) or a file's path";
        if !needed && self.get(section, key).is_none() {
            return VmListSource::File(PathBuf::new());
        }
        let Some(value) = self.required(section, key, allowed) else {
            return VmListSource::File(PathBuf::new());
        };
        let Some(rest) = value.strip_prefix("http://") else {
            return VmListSource::File(PathBuf::from(value));
        };
        match self.parse_address(section, key, rest) {
            Some(address) => VmListSource::Http(address),
            None => VmListSource::File(PathBuf::new()),
        }
    }

    pub fn balance_policy(&mut self, section: &str, key: &str) -> BalancePolicy {
        let allowed = "expected, round_robin or least_connections";
        self.describe(section, key, allowed, "expected");
        let Some(value) = self.get(section, key) else { return BalancePolicy::default() };
        match value.as_str() {
            "expected" => BalancePolicy::LeastExpectedTime,
            "round_robin" => BalancePolicy::RoundRobin,
            "least_connections" => BalancePolicy::LeastConnections,
            _ => {
                self.add_issue(section, key, &format!("'{value}' is not allowed; give {allowed}"));
                BalancePolicy::default()
            }
        }
    }

    pub fn placement_policy(&mut self, section: &str, key: &str) -> PlacementPolicy {
        let allowed = "fixed or learned";
        self.describe(section, key, allowed, "fixed");
        let Some(value) = self.get(section, key) else { return PlacementPolicy::default() };
        match value.as_str() {
            "fixed" => PlacementPolicy::Fixed,
            "learned" => PlacementPolicy::Learned,
            _ => {
                self.add_issue(section, key, &format!("'{value}' is not allowed; give {allowed}"));
                PlacementPolicy::default()
            }
        }
    }

    /// Returns the settings, or all errors that were found.
    pub fn finish(mut self, settings: Settings) -> Result<Settings, SettingsErrors> {
        self.check_sections();
        match self.issues.is_empty() {
            true => Ok(settings),
            false => Err(SettingsErrors(self.issues)),
        }
    }

    /// Reports unknown and duplicate sections and keys. Runs after all values were read, which
    /// registers the known keys.
    fn check_sections(&mut self) {
        let mut found = Vec::new();
        for (section, keys) in self.ini.iter() {
            let section = section.unwrap_or("").to_owned();
            found.push((section, keys.iter().map(|(key, _)| key.to_owned()).collect()));
        }
        let mut sections = BTreeSet::new();
        for (section, keys) in found {
            if !sections.insert(section.clone()) {
                self.add_issue(&section, "", "duplicate section; merge it into the first one");
            }
            self.check_section_keys(&section, keys);
        }
    }

    fn check_section_keys(&mut self, section: &str, keys: Vec<String>) {
        let same = self.known_keys.keys().filter(|(s, _)| *s == section);
        let allowed: Vec<String> = same.map(|(_, key)| key.clone()).collect();
        if allowed.is_empty() && !section.is_empty() {
            let sections: BTreeSet<&str> =
                self.known_keys.keys().map(|(s, _)| s.as_str()).collect();
            let sections: Vec<&str> = sections.into_iter().collect();
            let text = format!("unknown section; allowed: {}", sections.join(", "));
            self.add_issue(section, "", &text);
            return;
        }
        let mut seen = BTreeSet::new();
        for key in keys {
            if section.is_empty() {
                self.add_issue(section, &key, "key before any section; move it into a section");
            } else if !allowed.contains(&key) {
                let text = format!("unknown key; allowed: {}", allowed.join(", "));
                self.add_issue(section, &key, &text);
            } else if !seen.insert(key.clone()) {
                self.add_issue(section, &key, "duplicate key; give it once");
            }
        }
    }
}

fn issue(file: &str, section: &str, key: &str, text: &str) -> SettingsIssue {
    let text = text.to_owned();
    SettingsIssue { file: file.to_owned(), section: section.to_owned(), key: key.to_owned(), text }
}
