//! The routers that calls can be passed on to, as the leader names them.

use super::Gateway;
use super::leader_loop::LeaderConnection;
use crate::control::RouterId;
use crate::peer::{HelperRequest, HelperResponse, ProtocolVersion};
use crate::policy::Helper;
use rand::seq::IndexedRandom;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::{Mutex, watch};

/// How long a list is used before the leader is asked again. The leader forgets a router that does not
/// ask again.
const LIST_TTL: Duration = Duration::from_millis(500);
/// How long the last list is used while the leader does not answer.
const STALE_TTL: Duration = Duration::from_secs(10);
/// Time limit for the leader's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The helpers of this router. It asks for them only while it does not reach some pool.
#[derive(Debug)]
pub struct HelperList {
    /// The connection on which the lease was renewed last.
    pub leader: watch::Sender<LeaderConnection>,
    known: Mutex<KnownHelpers>,
}

#[derive(Debug, Default)]
struct KnownHelpers {
    helpers: Vec<Helper>,
    asked_at: Option<Instant>,
    heard_at: Option<Instant>,
}

impl Default for HelperList {
    fn default() -> Self {
        Self { leader: watch::Sender::new(None), known: Mutex::default() }
    }
}

impl HelperList {
    /// A helper that is `usable`; `None` if there is none.
    pub async fn pick<F>(&self, gateway: &Gateway, usable: F) -> Option<Helper>
    where
        F: Fn(&Helper) -> bool,
    {
        // Calls that ask at the same time share one request to the leader.
        let mut known = self.known.lock().await;
        if known.asked_at.is_none_or(|at| at.elapsed() >= LIST_TTL) {
            known.asked_at = Some(Instant::now());
            if let Some(helpers) = self.ask_leader(gateway).await {
                known.helpers = helpers;
                known.heard_at = Some(Instant::now());
            } else if known.heard_at.is_some_and(|at| at.elapsed() >= STALE_TTL) {
                known.helpers.clear();
            }
        }
        // A leader that has not heard yet that this router is cut off may name it.
        let own = gateway.identity.get().map(|identity| &identity.vm);
        let is_usable = |helper: &&Helper| own != Some(&helper.vm) && usable(helper);
        let usable: Vec<&Helper> = known.helpers.iter().filter(is_usable).collect();
        usable.choose(&mut rand::rng()).map(|helper| (*helper).clone())
    }

    async fn ask_leader(&self, gateway: &Gateway) -> Option<Vec<Helper>> {
        let dialed = self.leader.borrow().clone()?;
        if dialed.version < ProtocolVersion::HELPERS {
            return None;
        }
        let identity = gateway.identity.get()?;
        let router = RouterId { vm: identity.vm.clone(), run: identity.run };
        let request = HelperRequest { router, lost: gateway.paths.lost_pools() };
        let mut context = context::current();
        context.deadline = Instant::now() + RESPONSE_TIMEOUT;
        match dialed.client.find_helpers(context, request).await {
            Ok(HelperResponse::Known(helpers)) => Some(helpers),
            Ok(HelperResponse::NotLeader) => None,
            Err(error) => {
                log::info!("the leader names no helpers: {error}");
                None
            }
        }
    }
}
