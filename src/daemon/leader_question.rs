use super::{NoAnswer, Node};
use crate::group::GroupId;
use crate::name::VmName;
use crate::peer::{Askable, OperatorRequest, OperatorResponse, ProtocolVersion};
use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tarpc::context;

/// When another daemon is asked beside one that has not answered.
const ASIDE_AFTER: Duration = Duration::from_millis(300);
/// Delay before the next daemon is asked after one that could not answer, or when there was nobody to ask.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time for the answer to one attempt beyond the wait in the request, where the caller is patient.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);

/// How long the caller of a question waits.
#[derive(Debug, Clone, Copy)]
pub enum Patience {
    /// Until this time, unless it is known before that nobody can lead.
    Until(Instant),
    /// Until this time, through an election too.
    ThroughElection(Instant),
}

impl Patience {
    fn deadline(self) -> Instant {
        match self {
            Self::Until(deadline) | Self::ThroughElection(deadline) => deadline,
        }
    }
}

/// An attempt at one daemon.
type Attempt<'a> = BoxFuture<'a, (VmName, Option<OperatorResponse>)>;

/// A request on its way to the control group's leader. It may reach several daemons, of which only the leader
/// handles it, and a leader twice, also late: requests are idempotent, and a change says what it follows (a number,
/// or the confirmation of its caller) wherever it could undo a newer one.
pub struct LeaderQuestion<'a> {
    node: &'a Node,
    request: OperatorRequest,
    patience: Patience,
    attempts: FuturesUnordered<Attempt<'a>>,
    /// Who was asked and has not answered yet.
    open: Vec<VmName>,
    /// How often each daemon was asked.
    asked: BTreeMap<VmName, i32>,
    /// Whether a leader could not say whether the change is accepted.
    is_pending: bool,
}

impl<'a> LeaderQuestion<'a> {
    /// Creates a question that has not been asked yet.
    pub fn new(node: &'a Node, request: OperatorRequest, patience: Patience) -> Self {
        Self {
            node,
            request,
            patience,
            attempts: FuturesUnordered::new(),
            open: Vec::new(),
            asked: BTreeMap::new(),
            is_pending: false,
        }
    }

    /// Asks until a leader answers.
    ///
    /// # Errors
    /// If no leader answers in time, or it is known that nobody leads.
    pub async fn ask(mut self) -> Result<OperatorResponse, NoAnswer> {
        let deadline = self.patience.deadline();
        let mut next_at = Instant::now();
        loop {
            if self.is_hopeless() {
                return Err(NoAnswer::NoMajority);
            }
            tokio::select! {
                Some((vm, response)) = self.attempts.next(), if !self.attempts.is_empty() => {
                    self.open.retain(|open| *open != vm);
                    match self.take(&vm, response) {
                        Ok(response) => return Ok(response),
                        Err(pause) => next_at = Instant::now() + pause,
                    }
                }
                () = tokio::time::sleep_until(next_at.into()) => {
                    let pause = match self.ask_next() {
                        true => self.aside_after(),
                        false => RETRY_DELAY,
                    };
                    next_at = Instant::now() + pause;
                }
                () = tokio::time::sleep_until(deadline.into()) => return Err(self.no_answer()),
            }
        }
    }

    fn is_hopeless(&self) -> bool {
        let Patience::Until(_) = self.patience else { return false };
        let election = self.node.settings.election_timeout;
        self.node.cluster.lacks_majority(GroupId::Control, election)
    }

    /// Asks this daemon if it leads, otherwise another one that is not being asked. Returns false if there is
    /// nobody to ask now.
    fn ask_next(&mut self) -> bool {
        let node = self.node;
        if node.cluster.control().status().leading {
            return self.ask_here();
        }
        let all = node.cluster.askable(GroupId::Control);
        if self.waits_for_change(&all) {
            return false;
        }
        let needed = needed_version(&self.request);
        let is_askable = |askable: &Askable| {
            let version = node.cluster.peers().version_of(&askable.vm);
            !self.open.contains(&askable.vm) && version.is_none_or(|version| version >= needed)
        };
        let not_open = all.into_iter().filter(is_askable);
        let Some(next) = not_open.min_by_key(|askable| self.rank(askable)) else { return false };
        let (vm, client, request) = (next.vm, next.client, self.request.clone());
        let mut context = context::current();
        context.deadline = self.attempt_deadline();
        let asked = vm.clone();
        self.start(asked, async move { (vm, client.operate(context, request).await.ok()) }.boxed());
        true
    }

    fn ask_here(&mut self) -> bool {
        let node = self.node;
        let (vm, request) = (node.settings.vm.clone(), self.request.clone());
        if self.open.contains(&vm) {
            return false;
        }
        let asked = vm.clone();
        let attempt = async move { (vm, Some(node.handle_request(request).await)) };
        self.start(asked, attempt.boxed());
        true
    }

    fn start(&mut self, vm: VmName, attempt: Attempt<'a>) {
        *self.asked.entry(vm.clone()).or_default() += 1;
        self.open.push(vm);
        self.attempts.push(attempt);
    }

    /// Whether a daemon that is heard from is at work on a change. A change may be large, and takes the leader
    /// longer than a read.
    fn waits_for_change(&self, all: &[Askable]) -> bool {
        let is_at_work = |askable: &Askable| !askable.silent && self.open.contains(&askable.vm);
        is_change(&self.request) && all.iter().any(is_at_work)
    }

    /// The daemon with the lowest rank is asked next: the one that was asked least, and the leader once more than
    /// the others unless it is silent. So a slow leader is asked too, and a wrong name keeps no one from the others.
    fn rank(&self, askable: &Askable) -> (i32, bool, bool) {
        let Askable { vm, leads, silent, .. } = askable;
        let asked = self.asked.get(vm).copied().unwrap_or_default();
        (asked - i32::from(*leads && !silent), *silent, !leads)
    }

    fn attempt_deadline(&self) -> Instant {
        match self.patience {
            Patience::Until(deadline) => deadline,
            Patience::ThroughElection(_) => {
                Instant::now() + leader_wait(&self.request) + RESPONSE_MARGIN
            }
        }
    }

    fn aside_after(&self) -> Duration {
        leader_wait(&self.request) + ASIDE_AFTER
    }

    /// Takes an answer; returns the pause before the next attempt if it is none of a leader.
    fn take(
        &mut self,
        from: &VmName,
        response: Option<OperatorResponse>,
    ) -> Result<OperatorResponse, Duration> {
        match response {
            Some(OperatorResponse::NotLeader { leader }) => Err(self.follow(from, leader)),
            Some(OperatorResponse::OutcomeUnknown) => {
                self.is_pending = true;
                Err(RETRY_DELAY)
            }
            Some(response) => Ok(response),
            None => Err(self.follow(from, None)),
        }
    }

    /// Records whom a daemon named as the leader, if that can be asked; a name that leads nowhere is forgotten.
    fn follow(&self, from: &VmName, named: Option<VmName>) -> Duration {
        let cluster = &self.node.cluster;
        let named = named.filter(|vm| vm != from && cluster.peers().client(vm).is_some());
        let Some(named) = named else {
            if cluster.leader(GroupId::Control).as_ref() == Some(from) {
                cluster.set_leader_hint(GroupId::Control, None);
            }
            return RETRY_DELAY;
        };
        cluster.set_leader_hint(GroupId::Control, Some(named.clone()));
        match (self.open.contains(&named), self.asked.contains_key(&named)) {
            (true, _) => self.aside_after(),
            (false, true) => RETRY_DELAY,
            (false, false) => Duration::ZERO,
        }
    }

    /// What the question waited for.
    fn no_answer(&self) -> NoAnswer {
        let own = &self.node.settings.vm;
        if self.is_pending || self.open.contains(own) {
            return NoAnswer::NotAccepted;
        }
        let leader = self.node.leader();
        let asked = self.open.iter().find(|vm| leader.as_ref() == Some(vm));
        match asked.or(self.open.first()) {
            Some(vm) => NoAnswer::LeaderSilent(vm.clone()),
            None => NoAnswer::LeaderUnknown,
        }
    }
}

/// How long the leader may wait before it answers a request.
pub fn leader_wait(request: &OperatorRequest) -> Duration {
    match request {
        OperatorRequest::AwaitInForce { wait_ms, .. } => Duration::from_millis(*wait_ms),
        _ => Duration::ZERO,
    }
}

/// The first version of daemons that can read a request.
fn needed_version(request: &OperatorRequest) -> ProtocolVersion {
    match request {
        OperatorRequest::ReplaceTableInRegions(..) => ProtocolVersion::REGIONS,
        OperatorRequest::AtLedger(..) => ProtocolVersion::LEDGER_READS,
        OperatorRequest::Confirmed { .. } => ProtocolVersion::CONFIRMED_ORDERS,
        OperatorRequest::BeginEvacuation(_)
        | OperatorRequest::FinishEvacuation(_)
        | OperatorRequest::Evacuations => ProtocolVersion::EVACUATIONS,
        _ => ProtocolVersion::FIRST,
    }
}

fn is_change(request: &OperatorRequest) -> bool {
    match request {
        OperatorRequest::ApplyTicket { dry_run, .. } => !dry_run,
        OperatorRequest::ReplaceRouteTable(_)
        | OperatorRequest::ReplaceTableInRegions(..)
        | OperatorRequest::StartPoolRollout(_)
        | OperatorRequest::ClearPart(_)
        | OperatorRequest::BeginEvacuation(_)
        | OperatorRequest::FinishEvacuation(_)
        | OperatorRequest::Confirmed { .. } => true,
        _ => false,
    }
}
