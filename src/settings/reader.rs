use super::issue::{SettingsErrors, SettingsIssue};
use super::key::KeySpec;
use super::unit::{parse_duration, parse_size};
use super::{Role, Settings, VmListSource};
use crate::policy::BalancePolicy;
use ini::Ini;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

const NAME_LIMIT: usize = 64;
const SECRET_MIN: usize = 8;
const ADDRESS: &str = "an IP address and port, such as 10.0.0.5:8080";
/// Stands for an address that is not given.
const UNUSED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
const ADDRESSES: &str = "IP addresses and ports, separated by commas";
/// A lease must outlast this many renewals, so that one lost message costs nothing.
const RENEWALS_PER_LEASE: u32 = 3;
/// An election takes up to two of its shortest times to begin, and some rounds to end.
const ELECTIONS_PER_LEASE: u32 = 3;
/// An election must not begin because one heartbeat was late.
const HEARTBEATS_PER_ELECTION: u32 = 3;

/// Reads typed values and gathers every fault instead of stopping at the first.
pub struct Reader {
    file: String,
    ini: Ini,
    known: BTreeMap<(String, String), KeySpec>,
    issues: Vec<SettingsIssue>,
}

impl Reader {
    pub fn open(file: &str, text: &str) -> Result<Self, SettingsErrors> {
        let parsed = Ini::load_from_str(text);
        let ini = parsed.map_err(|cause| {
            let text = format!("not an INI file: {cause}");
            let issue = issue(file, "", "", &text);
            SettingsErrors(vec![issue])
        })?;
        Ok(Self { file: file.to_owned(), ini, known: BTreeMap::new(), issues: Vec::new() })
    }

    fn fault(&mut self, section: &str, key: &str, text: &str) {
        let issue = issue(&self.file, section, key, text);
        self.issues.push(issue);
    }

    pub fn optional(&mut self, section: &str, key: &str) -> Option<String> {
        let place = (section.to_owned(), key.to_owned());
        self.known.entry(place).or_insert_with(|| KeySpec::new(section, key));
        let value = self.ini.get_from(Some(section), key)?;
        Some(value.trim().to_owned())
    }

    /// Notes what a key may hold and its default, for [`Settings::keys`].
    fn describe(&mut self, section: &str, key: &str, allowed: &str, default: &str) {
        let place = (section.to_owned(), key.to_owned());
        let spec = KeySpec { allowed: allowed.to_owned(), ..KeySpec::new(section, key) };
        self.known.insert(place, KeySpec { default: default.to_owned(), ..spec });
    }

    /// Every key that was asked for.
    pub fn keys(&self) -> Vec<KeySpec> {
        self.known.values().cloned().collect()
    }

    fn required(&mut self, section: &str, key: &str, allowed: &str) -> Option<String> {
        self.describe(section, key, allowed, "required");
        let value = self.optional(section, key);
        if value.is_none() {
            self.fault(section, key, &format!("missing; give {allowed}"));
        }
        value
    }

    pub fn name(&mut self, section: &str, key: &str) -> String {
        let allowed = "1 to 64 letters, digits, '-', '_' or '.'";
        let Some(value) = self.required(section, key, allowed) else { return String::new() };
        let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if value.is_empty() || value.len() > NAME_LIMIT || !value.chars().all(plain) {
            self.fault(section, key, &format!("'{value}' is not a name; allowed: {allowed}"));
        }
        value
    }

    pub fn secret(&mut self, section: &str, key: &str) -> String {
        let allowed = "at least 8 characters";
        let Some(value) = self.required(section, key, allowed) else { return String::new() };
        if value.len() < SECRET_MIN {
            self.fault(section, key, &format!("too short; allowed: {allowed}"));
        }
        value
    }

    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let Some(value) = self.required(section, key, ADDRESS) else { return UNUSED };
        self.parse_address(section, key, &value).unwrap_or(UNUSED)
    }

    /// An address that is needed only by some roles.
    pub fn address_if(&mut self, needed: bool, section: &str, key: &str) -> SocketAddr {
        match needed {
            true => self.address(section, key),
            false => self.optional_address(section, key).unwrap_or(UNUSED),
        }
    }

    pub fn optional_address(&mut self, section: &str, key: &str) -> Option<SocketAddr> {
        self.describe(section, key, ADDRESS, "none");
        let value = self.optional(section, key)?;
        self.parse_address(section, key, &value)
    }

    /// A secret that is needed only by some roles.
    pub fn secret_if(&mut self, needed: bool, section: &str, key: &str) -> String {
        match needed {
            true => self.secret(section, key),
            false => self.optional(section, key).unwrap_or_default(),
        }
    }

    pub fn role(&mut self, section: &str, key: &str) -> Role {
        let allowed = "all, router or voter";
        self.describe(section, key, allowed, "all");
        let Some(value) = self.optional(section, key) else { return Role::All };
        match value.as_str() {
            "all" => Role::All,
            "router" => Role::Router,
            "voter" => Role::Voter,
            _ => {
                self.fault(section, key, &format!("'{value}' is not allowed; give {allowed}"));
                Role::All
            }
        }
    }

    pub fn truth(&mut self, section: &str, key: &str) -> bool {
        self.describe(section, key, "true or false", "false");
        match self.optional(section, key).as_deref() {
            None | Some("false") => false,
            Some("true") => true,
            Some(value) => {
                let text = format!("'{value}' is not allowed; give true or false");
                self.fault(section, key, &text);
                false
            }
        }
    }

    pub fn decimal(&mut self, section: &str, key: &str, default: f64, low: f64, high: f64) -> f64 {
        let allowed = format!("a number from {low} to {high}, with decimals");
        self.describe(section, key, &allowed, &default.to_string());
        let Some(value) = self.optional(section, key) else { return default };
        match value.parse::<f64>() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                let text = format!("'{value}' is not allowed; give {allowed}");
                self.fault(section, key, &text);
                default
            }
        }
    }

    /// An optional path of a folder.
    pub fn folder(&mut self, section: &str, key: &str) -> Option<PathBuf> {
        self.describe(section, key, "the path of a folder that can be written", "none");
        self.optional(section, key).map(PathBuf::from)
    }

    fn parse_address(&mut self, section: &str, key: &str, value: &str) -> Option<SocketAddr> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.fault(section, key, &format!("'{value}' is not an address; allowed: {ADDRESS}"));
        }
        parsed
    }

    pub fn addresses(&mut self, section: &str, key: &str) -> Vec<SocketAddr> {
        self.describe(section, key, ADDRESSES, "none");
        let Some(value) = self.optional(section, key) else { return Vec::new() };
        let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.filter_map(|part| self.parse_address(section, key, part)).collect()
    }

    pub fn number(&mut self, section: &str, key: &str, default: u64, low: u64, high: u64) -> u64 {
        let allowed = format!("a number from {low} to {high}");
        self.describe(section, key, &allowed, &default.to_string());
        let Some(value) = self.optional(section, key) else { return default };
        match value.parse::<u64>() {
            Ok(n) if (low..=high).contains(&n) => n,
            _ => {
                let text = format!("'{value}' is not allowed; give {allowed}");
                self.fault(section, key, &text);
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
        self.ranged(section, key, [default, low, high], parse_duration, &allowed)
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
        self.ranged(section, key, [default, low, high], parse_size, &allowed)
    }

    /// A value with a unit, within its range; `texts` are its default, least and greatest.
    fn ranged<T>(
        &mut self,
        section: &str,
        key: &str,
        texts: [&str; 3],
        parse: fn(&str) -> Option<T>,
        allowed: &str,
    ) -> T
    where
        T: PartialOrd + Default,
    {
        let [default, low, high] = texts;
        self.describe(section, key, allowed, default);
        let value = self.optional(section, key).unwrap_or_else(|| default.to_owned());
        let parsed = parse(&value).filter(|_| parse(low) <= parse(&value));
        if let Some(parsed) = parsed.filter(|parsed| Some(parsed) <= parse(high).as_ref()) {
            return parsed;
        }
        self.fault(section, key, &format!("'{value}' is not allowed; give {allowed}"));
        parse(default).unwrap_or_default()
    }

    pub fn vm_list(&mut self, needed: bool, section: &str, key: &str) -> VmListSource {
        let allowed = "an address to query (http://10.0.0.9:7000) or a file's path";
        if !needed && self.optional(section, key).is_none() {
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

    pub fn balance(&mut self, section: &str, key: &str) -> BalancePolicy {
        let allowed = "expected, round_robin or least_connections";
        self.describe(section, key, allowed, "expected");
        let Some(value) = self.optional(section, key) else { return BalancePolicy::default() };
        match value.as_str() {
            "expected" => BalancePolicy::LeastExpectedTime,
            "round_robin" => BalancePolicy::RoundRobin,
            "least_connections" => BalancePolicy::LeastConnections,
            _ => {
                self.fault(section, key, &format!("'{value}' is not allowed; give {allowed}"));
                BalancePolicy::default()
            }
        }
    }

    pub fn check_ports(&mut self, ports: &[SocketAddr]) {
        let names = ["callers", "operators", "peers"];
        for (i, a) in ports.iter().enumerate() {
            for (b, name) in ports.iter().zip(names).skip(i + 1) {
                if a == b && a.port() != 0 {
                    let text = format!("{b} is also the port of '{}'; give another", names[i]);
                    self.fault("listen", name, &text);
                }
            }
        }
    }

    /// Tries whether the folder, or the nearest one above it that exists, can be written. Makes no
    /// folder.
    pub fn check_folder(&mut self, folder: Option<&Path>) {
        let Some(folder) = folder else { return };
        let Some(existing) = folder.ancestors().find(|path| path.exists()) else {
            let text = format!("{} cannot be made: no folder above exists", folder.display());
            self.fault("vm", "data_folder", &text);
            return;
        };
        let probe = existing.join(format!(".write-probe-{:016x}", rand::random::<u64>()));
        let tried = std::fs::write(&probe, b"").and_then(|()| std::fs::remove_file(&probe));
        if let Err(cause) = tried {
            let text = format!(
                "{} cannot be written: {cause}; allowed: a folder that this user can write",
                folder.display()
            );
            self.fault("vm", "data_folder", &text);
        }
    }

    pub fn check_seeds(&mut self, seeds: &[SocketAddr]) {
        if seeds.is_empty() {
            let text = format!("a router finds its voters by them; give {ADDRESSES}");
            self.fault("cluster", "seeds", &text);
        }
    }

    pub fn check_lease(&mut self, lease: Duration, renew: Duration) {
        if lease >= renew * RENEWALS_PER_LEASE {
            return;
        }
        let text = format!("must be at least {RENEWALS_PER_LEASE} times 'renew'");
        self.fault("lease", "duration", &text);
    }

    pub fn check_fail_over(&mut self, lease: Duration, election: Duration, heartbeat: Duration) {
        if lease < election * ELECTIONS_PER_LEASE {
            let text = format!(
                "must be at least {ELECTIONS_PER_LEASE} times 'election' of section [consensus], so that a leader's death costs no lease"
            );
            self.fault("lease", "duration", &text);
        }
        if election < heartbeat * HEARTBEATS_PER_ELECTION {
            let text = format!("must be at least {HEARTBEATS_PER_ELECTION} times 'heartbeat'");
            self.fault("consensus", "election", &text);
        }
    }

    pub fn finish(mut self, settings: Settings) -> Result<Settings, SettingsErrors> {
        self.check_unknown();
        match self.issues.is_empty() {
            true => Ok(settings),
            false => Err(SettingsErrors(self.issues)),
        }
    }

    fn check_unknown(&mut self) {
        let mut found = Vec::new();
        for (section, keys) in self.ini.iter() {
            let section = section.unwrap_or("").to_owned();
            found.push((section, keys.iter().map(|(key, _)| key.to_owned()).collect()));
        }
        let mut sections = BTreeSet::new();
        for (section, keys) in found {
            if !sections.insert(section.clone()) {
                self.fault(&section, "", "the section stands twice; allowed: once");
            }
            self.check_keys(&section, keys);
        }
    }

    fn check_keys(&mut self, section: &str, keys: Vec<String>) {
        let same = self.known.keys().filter(|(s, _)| *s == section);
        let allowed: Vec<String> = same.map(|(_, key)| key.clone()).collect();
        if allowed.is_empty() && !section.is_empty() {
            let sections: BTreeSet<&str> = self.known.keys().map(|(s, _)| s.as_str()).collect();
            let sections: Vec<&str> = sections.into_iter().collect();
            let text = format!("unknown section; allowed: {}", sections.join(", "));
            self.fault(section, "", &text);
            return;
        }
        let mut seen = BTreeSet::new();
        for key in keys {
            if section.is_empty() {
                self.fault(section, &key, "stands before any section; allowed: keys in sections");
            } else if !allowed.contains(&key) {
                let text = format!("unknown key; allowed: {}", allowed.join(", "));
                self.fault(section, &key, &text);
            } else if !seen.insert(key.clone()) {
                self.fault(section, &key, "the key stands twice; allowed: once");
            }
        }
    }
}

fn issue(file: &str, section: &str, key: &str, text: &str) -> SettingsIssue {
    let text = text.to_owned();
    SettingsIssue { file: file.to_owned(), section: section.to_owned(), key: key.to_owned(), text }
}
