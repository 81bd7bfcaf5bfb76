use crate::control::Config;
use crate::name::DataCentre;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether one call may be written to its server with regard to evacuations: a call that has begun goes on
/// through one.
#[derive(Debug)]
pub struct EvacuationCheck {
    /// Where the server is; `None` for another router, which checks for itself.
    data_centre: Option<DataCentre>,
    begun: AtomicBool,
}

impl EvacuationCheck {
    /// Creates the check of a call that has not begun.
    ///
    /// ```
    /// use samphireshift::control::Config;
    /// use samphireshift::name::DataCentre;
    /// use samphireshift::route::EvacuationCheck;
    /// let north = DataCentre::new("north");
    /// let check = EvacuationCheck::new(Some(north.clone()));
    /// let evacuated = Config { evacuated: [north].into(), ..Config::default() };
    /// assert!(check.allows(&Config::default()) && !check.allows(&evacuated));
    /// check.begin();
    /// assert!(check.allows(&evacuated));
    /// ```
    pub fn new(data_centre: Option<DataCentre>) -> Self {
        Self { data_centre, begun: AtomicBool::new(false) }
    }

    /// Whether bytes of the call may be written under a configuration.
    pub fn allows(&self, config: &Config) -> bool {
        let data_centre = self.data_centre.as_ref();
        !data_centre.is_some_and(|data_centre| config.is_evacuated(data_centre))
            || self.begun.load(Ordering::Relaxed)
    }

    /// Records that bytes of the call are written.
    pub fn begin(&self) {
        self.begun.store(true, Ordering::Relaxed);
    }
}
