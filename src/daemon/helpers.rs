//! The leader's answers to routers that do not reach the servers: which routers can take their calls.

use super::Node;
use crate::control::RouterId;
use crate::name::{DataCentre, PoolName};
use crate::peer::{HelperRequest, HelperResponse, PeerIdentity};
use crate::policy::{Helper, choose_helpers};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a router counts as cut off after it asked for helpers. Routers that are cut off ask again
/// within this time.
const CUT_TTL: Duration = Duration::from_millis(1_500);

/// Where routers are, and which pools they do not reach.
#[derive(Debug, Default)]
pub struct LeaderHelpers {
    inner: Mutex<Inner>,
}

/// Where a daemon accepts connections.
#[derive(Debug)]
struct Place {
    data_centre: DataCentre,
    address: SocketAddr,
    /// Whether it is a daemon of role router, which takes calls there.
    takes_calls: bool,
}

#[derive(Debug, Default)]
struct Inner {
    places: BTreeMap<RouterId, Place>,
    cut: BTreeMap<RouterId, (Instant, Vec<PoolName>)>,
}

impl LeaderHelpers {
    /// Remembers where a daemon that has connected accepts connections.
    pub fn record_place(&self, peer: &PeerIdentity) {
        let mut inner = self.inner.lock().expect("helpers lock");
        // A VM runs one process at a time.
        inner.places.retain(|router, _| router.vm != peer.vm);
        let router = RouterId { vm: peer.vm.clone(), run: peer.run };
        let (data_centre, address) = (peer.data_centre.clone(), peer.address);
        inner.places.insert(router, Place { data_centre, address, takes_calls: false });
    }

    /// Whether a daemon that has connected is in a data centre.
    pub fn has_daemon_in(&self, data_centre: &DataCentre) -> bool {
        let inner = self.inner.lock().expect("helpers lock");
        inner.places.values().any(|place| place.data_centre == *data_centre)
    }

    /// Records that a daemon is of role router.
    pub fn record_router(&self, router: &RouterId) {
        let mut inner = self.inner.lock().expect("helpers lock");
        if let Some(place) = inner.places.get_mut(router) {
            place.takes_calls = true;
        }
    }

    /// Records that a router is cut off, and chooses its helpers among the `live` routers.
    fn choose(&self, request: &HelperRequest, live: &[RouterId]) -> Vec<Helper> {
        let mut inner = self.inner.lock().expect("helpers lock");
        let Inner { places, cut } = &mut *inner;
        let now = Instant::now();
        cut.insert(request.router.clone(), (now, request.lost.clone()));
        cut.retain(|_, (asked_at, _)| now.duration_since(*asked_at) < CUT_TTL);
        let Some(asking) = places.get(&request.router) else { return Vec::new() };
        let own = &asking.data_centre;
        let is_cut = |router: &&RouterId| {
            let lost = cut.get(router).map_or(&[][..], |(_, lost)| lost);
            lost.iter().any(|pool| request.lost.contains(pool))
        };
        let helper = |router: &RouterId| {
            let place = places.get(router).filter(|place| place.takes_calls)?;
            let (data_centre, address) = (place.data_centre.clone(), place.address);
            Some(Helper { vm: router.vm.clone(), data_centre, address })
        };
        let sound = live.iter().filter(|router| !is_cut(router)).filter_map(helper).collect();
        let is_near =
            |router: &&RouterId| places.get(router).is_some_and(|place| place.data_centre == *own);
        let cut_near = cut.keys().filter(is_near).count();
        choose_helpers(own, cut_near, sound, &mut rand::rng())
    }
}

impl Node {
    /// The helpers of a router that does not reach some pools.
    pub fn find_helpers(&self, request: &HelperRequest) -> HelperResponse {
        match self.known_routers() {
            Some(live) => HelperResponse::Known(self.helpers.choose(request, &live)),
            None => HelperResponse::NotLeader,
        }
    }
}
