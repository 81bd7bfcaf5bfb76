use super::expiry_queue::ExpiryQueue;
use super::organisation_records::{OrganisationRecords, Timestamped};
use super::{
    Bill, BillSum, Claim, ClaimState, LedgerCommand, LedgerOutcome, Pin, PinState, Retention,
    StoredAnswer,
};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most that one tick advances ledger time, so that a faulty clock expires few records.
const MAX_TICK: Duration = Duration::from_secs(60);

type SessionId = (OrganisationName, SessionName);
type ClaimId = (OrganisationName, IdempotencyKey);
type BillId = (OrganisationName, RequestId);

/// A ledger group's replicated state machine. An organisation's records can be accessed only with
/// its name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    records: BTreeMap<OrganisationName, OrganisationRecords>,
    /// The ledger time: the sum of the times that leaders measured between ticks.
    time: Duration,
    /// Claims whose call may be running.
    running: BTreeSet<ClaimId>,
    /// Sessions whose pin is tentative.
    tentative: BTreeSet<SessionId>,
    pin_expiry: ExpiryQueue<SessionId>,
    claim_expiry: ExpiryQueue<ClaimId>,
    bill_expiry: ExpiryQueue<BillId>,
    release_expiry: ExpiryQueue<BillId>,
}

impl LedgerState {
    /// Applies one committed command.
    pub fn apply(&mut self, command: LedgerCommand) -> LedgerOutcome {
        match command {
            LedgerCommand::Pin { organisation, session, pin } => {
                self.put_pin((organisation, session), pin)
            }
            LedgerCommand::FinalisePin { organisation, session, request, version } => {
                self.finalise_pin((organisation, session), request, version)
            }
            LedgerCommand::Claim { organisation, key, claim } => {
                self.put_claim((organisation, key), claim)
            }
            LedgerCommand::ReleaseClaim { organisation, key, request } => {
                self.release_claim((organisation, key), request)
            }
            LedgerCommand::RecordOutcome { organisation, key, request, answer, bill } => {
                self.record_outcome((organisation, key), request, answer, bill)
            }
            LedgerCommand::Bill { organisation, bill } => {
                LedgerOutcome::Billed(self.put_bill(organisation, bill))
            }
            LedgerCommand::Tick { from, elapsed, retention } => {
                self.tick(from, elapsed, &retention)
            }
        }
    }

    /// The ledger time: the sum of the times that leaders measured and committed. It never runs
    /// faster than real time.
    pub fn time(&self) -> Duration {
        self.time
    }

    /// The pin of a session.
    pub fn pin(&self, organisation: &OrganisationName, session: &SessionName) -> Option<&Pin> {
        self.records.get(organisation)?.pins.get(session).map(|kept| &kept.record)
    }

    /// The claim of an idempotency key.
    pub fn claim(&self, organisation: &OrganisationName, key: &IdempotencyKey) -> Option<&Claim> {
        self.records.get(organisation)?.claims.get(key).map(|kept| &kept.record)
    }

    /// The bill of a request.
    pub fn bill(&self, organisation: &OrganisationName, request: RequestId) -> Option<&Bill> {
        self.records.get(organisation)?.bills.get(&request)
    }

    /// The totals of every organisation's bills.
    pub fn bill_sums(&self) -> impl Iterator<Item = (&OrganisationName, &BillSum)> {
        self.records.iter().map(|(name, records)| (name, &records.sum))
    }

    /// An organisation's bills that have not expired.
    pub fn bills(&self, organisation: &OrganisationName) -> impl Iterator<Item = &Bill> {
        self.records.get(organisation).into_iter().flat_map(|records| records.bills.values())
    }

    /// Claims whose call may be running.
    pub fn running(&self) -> impl Iterator<Item = (&OrganisationName, &IdempotencyKey, &Claim)> {
        let found = |(organisation, key): &'_ ClaimId| self.claim(organisation, key);
        self.running.iter().filter_map(move |id| Some((&id.0, &id.1, found(id)?)))
    }

    /// Sessions whose pin is tentative.
    pub fn tentative(&self) -> impl Iterator<Item = (&OrganisationName, &SessionName, &Pin)> {
        let found = |(organisation, session): &'_ SessionId| self.pin(organisation, session);
        self.tentative.iter().filter_map(move |id| Some((&id.0, &id.1, found(id)?)))
    }

    fn records_of(&mut self, organisation: &OrganisationName) -> &mut OrganisationRecords {
        if !self.records.contains_key(organisation) {
            self.records.insert(organisation.clone(), OrganisationRecords::default());
        }
        self.records.get_mut(organisation).expect("just inserted")
    }

    fn put_pin(&mut self, id: SessionId, pin: Pin) -> LedgerOutcome {
        let time = self.time;
        let kept = self.records_of(&id.0).pins.get_mut(&id.1);
        if let Some(kept) = kept {
            let pin = kept.record.clone();
            if kept.touched < time {
                kept.touched = time;
                self.pin_expiry.push(time, id);
            }
            return LedgerOutcome::Pinned(pin);
        }
        let kept = Timestamped { record: pin.clone(), touched: time };
        self.records_of(&id.0).pins.insert(id.1.clone(), kept);
        if pin.state != PinState::Final {
            self.tentative.insert(id.clone());
        }
        self.pin_expiry.push(time, id);
        LedgerOutcome::Pinned(pin)
    }

    fn finalise_pin(
        &mut self,
        id: SessionId,
        request: RequestId,
        version: VersionKey,
    ) -> LedgerOutcome {
        let Some(kept) = self.records_of(&id.0).pins.get_mut(&id.1) else {
            return LedgerOutcome::PinFinalised(false);
        };
        let pin = &mut kept.record;
        if pin.state == PinState::Final {
            return LedgerOutcome::PinFinalised(pin.version == version);
        }
        if !pin.is_pending_for(request) {
            return LedgerOutcome::PinFinalised(false);
        }
        *pin = Pin { version, state: PinState::Final };
        self.tentative.remove(&id);
        LedgerOutcome::PinFinalised(true)
    }

    fn put_claim(&mut self, id: ClaimId, claim: Claim) -> LedgerOutcome {
        let time = self.time;
        let records = self.records_of(&id.0);
        if records.released.contains_key(&claim.request) {
            return LedgerOutcome::AlreadyReleased;
        }
        if let Some(kept) = records.claims.get(&id.1) {
            return LedgerOutcome::Claimed(kept.record.clone());
        }
        let kept = Timestamped { record: claim.clone(), touched: time };
        records.claims.insert(id.1.clone(), kept);
        self.running.insert(id);
        LedgerOutcome::Claimed(claim)
    }

    fn release_claim(&mut self, id: ClaimId, request: RequestId) -> LedgerOutcome {
        let time = self.time;
        let records = self.records_of(&id.0);
        let is_releasable = |kept: &Timestamped<Claim>| {
            let answered = matches!(kept.record.state, ClaimState::Answered(_));
            kept.record.request == request && !answered
        };
        let released = records.claims.get(&id.1).is_some_and(is_releasable);
        if released {
            records.claims.remove(&id.1);
        }
        let newly_released = records.released.insert(request, time).is_none();
        if newly_released {
            self.release_expiry.push(time, (id.0.clone(), request));
        }
        if released {
            self.running.remove(&id);
        }
        LedgerOutcome::Released(released)
    }

    fn record_outcome(
        &mut self,
        id: ClaimId,
        request: RequestId,
        answer: Option<StoredAnswer>,
        bill: Option<Bill>,
    ) -> LedgerOutcome {
        let time = self.time;
        let Some(kept) = self.records_of(&id.0).claims.get_mut(&id.1) else {
            return LedgerOutcome::OutcomeRecorded(false);
        };
        let claim = &mut kept.record;
        if claim.request != request || matches!(claim.state, ClaimState::Answered(_)) {
            return LedgerOutcome::OutcomeRecorded(false);
        }
        claim.state = match answer {
            Some(answer) => ClaimState::Answered(answer),
            None => ClaimState::Unknown,
        };
        kept.touched = time;
        if let Some(bill) = bill {
            self.put_bill(id.0.clone(), bill);
        }
        self.running.remove(&id);
        self.claim_expiry.push(time, id);
        LedgerOutcome::OutcomeRecorded(true)
    }

    fn put_bill(&mut self, organisation: OrganisationName, bill: Bill) -> bool {
        let (time, request) = (self.time, bill.request);
        let billed = self.records_of(&organisation).bill(bill);
        if billed {
            self.bill_expiry.push(time, (organisation, request));
        }
        billed
    }

    fn tick(&mut self, from: Duration, elapsed: Duration, retention: &Retention) -> LedgerOutcome {
        if from != self.time {
            return LedgerOutcome::Ticked(self.time);
        }
        self.time += elapsed.min(MAX_TICK);
        self.expire_pins(retention.pins);
        self.expire_claims(retention.claims);
        while let Some((_, id)) = self.bill_expiry.pop_expired(self.time, retention.bills) {
            self.records_of(&id.0).bills.remove(&id.1);
        }
        while let Some((_, id)) = self.release_expiry.pop_expired(self.time, retention.claims) {
            self.records_of(&id.0).released.remove(&id.1);
        }
        LedgerOutcome::Ticked(self.time)
    }

    fn expire_pins(&mut self, window: Duration) {
        while let Some((queued, id)) = self.pin_expiry.pop_expired(self.time, window) {
            let records = self.records_of(&id.0);
            // A pin that was used since then is in the queue once more, with a later time.
            if records.pins.get(&id.1).is_some_and(|kept| kept.touched == queued) {
                records.pins.remove(&id.1);
                self.tentative.remove(&id);
            }
        }
    }

    fn expire_claims(&mut self, window: Duration) {
        while let Some((queued, id)) = self.claim_expiry.pop_expired(self.time, window) {
            let records = self.records_of(&id.0);
            let is_expired = |kept: &Timestamped<Claim>| {
                kept.touched == queued && kept.record.state != ClaimState::Running
            };
            if records.claims.get(&id.1).is_some_and(is_expired) {
                records.claims.remove(&id.1);
            }
        }
    }
}
