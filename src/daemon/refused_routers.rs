//! Routers of earlier builds that get no lease, as they cannot read the configuration.

use super::Node;
use crate::control::RouterId;
use crate::peer::ProtocolVersion;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often the refusal of one router is logged: it asks many times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// When the refusals of routers were logged last.
#[derive(Debug, Default)]
pub struct RefusedRouters {
    logged: Mutex<BTreeMap<RouterId, Instant>>,
}

impl RefusedRouters {
    /// Whether the refusal of a router is to be logged at this time.
    ///
    /// ```
    /// use samphireshift::control::RouterId;
    /// use samphireshift::daemon::RefusedRouters;
    /// use samphireshift::name::VmName;
    /// use std::time::{Duration, Instant};
    /// let (refused, now) = (RefusedRouters::default(), Instant::now());
    /// let router = RouterId { vm: VmName::new("a"), run: 1 };
    /// assert!(refused.is_due(&router, now));
    /// assert!(!refused.is_due(&router, now + Duration::from_secs(9)));
    /// assert!(refused.is_due(&router, now + Duration::from_secs(10)));
    /// ```
    pub fn is_due(&self, router: &RouterId, now: Instant) -> bool {
        let mut logged = self.logged.lock().expect("refused routers lock");
        logged.retain(|_, at| now.duration_since(*at) < LOG_INTERVAL);
        let is_due = !logged.contains_key(router);
        if is_due {
            logged.insert(router.clone(), now);
        }
        is_due
    }
}

impl Node {
    /// Logs that a router gets no lease, as the configuration needs daemons since version `needed`.
    pub(super) fn log_refusal(&self, router: &RouterId, needed: ProtocolVersion) {
        if self.refused.is_due(router, Instant::now()) {
            let what = match needed {
                ProtocolVersion::REGIONS => "rules on regions",
                _ => "evacuations",
            };
            log::warn!("{} gets no lease: its build knows no {what}; upgrade it", router.vm);
        }
    }
}
