use super::reader::SettingsReader;
use crate::name::{DataCentre, Region, is_label};
use std::collections::BTreeMap;

/// The region of each data centre, as far as the settings tell.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionMap {
    regions: BTreeMap<DataCentre, Region>,
}

impl RegionMap {
    /// Creates a map from pairs of a data centre and its region.
    ///
    /// ```
    /// use samphireshift::name::{DataCentre, Region};
    /// use samphireshift::settings::RegionMap;
    /// let north = DataCentre::new("north");
    /// let map = RegionMap::new([(north.clone(), Region::new("west"))]);
    /// assert_eq!(map.of(&north), Some(&Region::new("west")));
    /// assert_eq!(map.of(&DataCentre::new("south")), None);
    /// ```
    pub fn new<I>(pairs: I) -> Self
    where
        I: IntoIterator<Item = (DataCentre, Region)>,
    {
        Self { regions: pairs.into_iter().collect() }
    }

    /// The region of a data centre; `None` if it is not known.
    pub fn of(&self, data_centre: &DataCentre) -> Option<&Region> {
        self.regions.get(data_centre)
    }

    /// Whether a data centre is known to lie in a region.
    pub fn has(&self, region: &Region) -> bool {
        self.regions.values().any(|known| known == region)
    }
}

impl SettingsReader {
    /// Reads the regions of data centres.
    pub(super) fn region_map(&mut self, section: &str, key: &str) -> RegionMap {
        let allowed = "pairs DATA_CENTRE:REGION, separated by commas";
        self.describe(section, key, allowed, "none");
        let Some(value) = self.get(section, key) else { return RegionMap::default() };
        let mut regions = BTreeMap::new();
        for pair in value.split(',').map(str::trim).filter(|pair| !pair.is_empty()) {
            let names = pair.split_once(':').filter(|(a, b)| is_label(a) && is_label(b));
            let Some((data_centre, region)) = names else {
                self.add_issue(section, key, &format!("'{pair}' is not allowed; give {allowed}"));
                continue;
            };
            let (data_centre, region) = (DataCentre::new(data_centre), Region::new(region));
            if regions.insert(data_centre, region).is_some() {
                self.add_issue(section, key, &format!("'{pair}': give each data centre once"));
            }
        }
        RegionMap { regions }
    }
}
