//! Planned departures of voters. A voter that is told to stop names itself to the leader, which puts
//! another VM in its place before it ends: the group is never smaller than its voters that live.

use super::Node;
use crate::consensus::MemberId;
use crate::group::Group;
use crate::peer::{Cluster, DepartureRequest, DepartureResponse, ProtocolVersion};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tarpc::context;

/// How long a run of a voter's process counts as leaving after it said so; longer than any stop takes.
const DEPARTURE_TTL: Duration = Duration::from_mins(2);
/// Pause between two questions of a voter that leaves.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for an answer to such a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the leader must see no successor before the voter leaves without one: a new leader has not
/// heard from all VMs yet.
const NO_SUCCESSOR_WAIT: Duration = Duration::from_millis(600);
/// The part of the stop timeout that a voter may wait for its successor.
const WAIT_FRACTION: f64 = 0.5;

/// The voters that have said that they leave, as known to a leader.
#[derive(Debug, Default)]
pub struct LeaderDepartures {
    told: Mutex<BTreeMap<MemberId, (u64, Instant)>>,
}

impl LeaderDepartures {
    /// Records that a run of a member's process is to end.
    pub fn record(&self, member: MemberId, run: u64) {
        let now = Instant::now();
        let mut told = self.told.lock().expect("departures lock");
        told.retain(|_, (_, at)| now.duration_since(*at) < DEPARTURE_TTL);
        told.insert(member, (run, now));
    }

    /// Whether a run of a member's process has said that it is to end.
    pub fn contains(&self, member: MemberId, run: u64) -> bool {
        let told = self.told.lock().expect("departures lock");
        told.get(&member).is_some_and(|(left, at)| *left == run && at.elapsed() < DEPARTURE_TTL)
    }
}

impl Node {
    /// Records that a voter leaves, and says whether its group can do without it.
    pub fn take_departure(&self, request: DepartureRequest) -> DepartureResponse {
        let DepartureRequest { group, member, run } = request;
        let Some(group) = self.cluster.group(group) else { return DepartureResponse::NotLeader };
        let status = group.status();
        if !status.leading || !group.may_serve_reads() {
            return DepartureResponse::NotLeader;
        }
        self.departures.record(member, run);
        if !status.members_committed {
            return DepartureResponse::Pending;
        }
        if !status.members.is_voter(member) {
            return DepartureResponse::Replaced;
        }
        match status.members.learners.is_empty() && self.next_member_step(&status).is_none() {
            true => DepartureResponse::NoSuccessor,
            false => DepartureResponse::Pending,
        }
    }

    /// Waits until others have taken the place of this daemon in all its groups, for a part of the stop
    /// timeout at most. Returns soon if nobody can.
    pub async fn leave_groups(&self) {
        let until = Instant::now() + self.settings.fleet_limits.stop_timeout.mul_f64(WAIT_FRACTION);
        let left = self.cluster.groups().map(|group| leave_group(&self.cluster, group, until));
        futures::future::join_all(left).await;
    }
}

async fn leave_group(cluster: &Cluster, group: &Group, until: Instant) {
    if !group.status().members.is_voter(group.member()) {
        return;
    }
    let (id, started) = (group.id(), Instant::now());
    let mut alone_since = None;
    for attempt in 0.. {
        if Instant::now() >= until {
            log::warn!("{id}: this voter ends before another one has taken its place");
            return;
        }
        let status = group.status();
        if status.leading && status.members.voters.len() == 1 {
            return;
        }
        let answer = match status.leading {
            true => {
                group.transfer_leadership();
                None
            }
            false => ask_leader(cluster, group, attempt).await,
        };
        match answer {
            Some(DepartureResponse::Replaced) => {
                log::info!("{id}: replaced as a voter within {:?}", started.elapsed());
                return;
            }
            Some(DepartureResponse::NoSuccessor) => {
                let since = *alone_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= NO_SUCCESSOR_WAIT {
                    log::info!("{id}: this voter ends, and no VM can take its place");
                    return;
                }
            }
            Some(DepartureResponse::Pending) => alone_since = None,
            Some(DepartureResponse::NotLeader) | None => {}
        }
        tokio::time::sleep(ASK_INTERVAL).await;
    }
}

/// Tells the leader that this voter leaves. Leaders of earlier builds don't know the question; they see
/// no successor.
async fn ask_leader(cluster: &Cluster, group: &Group, attempt: usize) -> Option<DepartureResponse> {
    let id = group.id();
    if let Some(leader) = cluster.leader(id)
        && let Some(version) = cluster.peers().version_of(&leader)
        && version < ProtocolVersion::DEPARTURES
    {
        return Some(DepartureResponse::NoSuccessor);
    }
    let client = cluster.leader_client(id, attempt)?;
    let request = DepartureRequest {
        group: id,
        member: group.member(),
        run: cluster.peers().local_identity().run,
    };
    let mut context = context::current();
    context.deadline = Instant::now() + ASK_TIMEOUT;
    match client.depart(context, request).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::info!("{id}: the leader does not answer that this voter leaves: {error}");
            None
        }
    }
}
