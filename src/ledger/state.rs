use super::ages::Ages;
use super::book::{Book, Kept};
use super::{
    Bill, BillSum, Claim, ClaimState, LedgerCommand, LedgerOutcome, Pin, PinState, Retention,
    StoredAnswer,
};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The most by which one tick moves ledger time on, so that a faulty clock forgets little.
const TICK_LIMIT: Duration = Duration::from_secs(60);

type SessionId = (OrganisationName, SessionName);
type ClaimId = (OrganisationName, IdempotencyKey);
type BillId = (OrganisationName, RequestId);

/// A ledger group's state. Records of one organisation are never visible through another's name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    books: BTreeMap<OrganisationName, Book>,
    time: Duration,
    /// Claims whose call may be running.
    running: BTreeSet<ClaimId>,
    /// Sessions whose pin is tentative.
    tentative: BTreeSet<SessionId>,
    pin_ages: Ages<SessionId>,
    claim_ages: Ages<ClaimId>,
    bill_ages: Ages<BillId>,
    void_ages: Ages<BillId>,
}

impl LedgerState {
    /// Applies one committed command.
    pub fn apply(&mut self, command: LedgerCommand) -> LedgerOutcome {
        match command {
            LedgerCommand::Pin { organisation, session, pin } => {
                self.put_pin((organisation, session), pin)
            }
            LedgerCommand::SettlePin { organisation, session, request, version } => {
                self.settle_pin((organisation, session), request, version)
            }
            LedgerCommand::Claim { organisation, key, claim } => {
                self.put_claim((organisation, key), claim)
            }
            LedgerCommand::Release { organisation, key, request } => {
                self.release((organisation, key), request)
            }
            LedgerCommand::Settle { organisation, key, request, answer, bill } => {
                self.settle((organisation, key), request, answer, bill)
            }
            LedgerCommand::Bill { organisation, bill } => {
                LedgerOutcome::Billed(self.put_bill(organisation, bill))
            }
            LedgerCommand::Tick { from, elapsed, retention } => {
                self.tick(from, elapsed, &retention)
            }
        }
    }

    /// Ledger time: what leaders measured and committed, never faster than real time.
    pub fn time(&self) -> Duration {
        self.time
    }

    /// The pin of a session.
    pub fn pin(&self, organisation: &OrganisationName, session: &SessionName) -> Option<&Pin> {
        self.books.get(organisation)?.pins.get(session).map(|kept| &kept.record)
    }

    /// A claim as it stands.
    pub fn claim(&self, organisation: &OrganisationName, key: &IdempotencyKey) -> Option<&Claim> {
        self.books.get(organisation)?.claims.get(key).map(|kept| &kept.record)
    }

    /// The bill of a request.
    pub fn bill(&self, organisation: &OrganisationName, request: RequestId) -> Option<&Bill> {
        self.books.get(organisation)?.bills.get(&request)
    }

    /// Every organisation's bills, added up.
    pub fn sums(&self) -> impl Iterator<Item = (&OrganisationName, &BillSum)> {
        self.books.iter().map(|(name, book)| (name, &book.sum))
    }

    /// Every bill of an organisation that is still kept.
    pub fn bills(&self, organisation: &OrganisationName) -> impl Iterator<Item = &Bill> {
        self.books.get(organisation).into_iter().flat_map(|book| book.bills.values())
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

    fn book(&mut self, organisation: &OrganisationName) -> &mut Book {
        if !self.books.contains_key(organisation) {
            self.books.insert(organisation.clone(), Book::default());
        }
        self.books.get_mut(organisation).expect("just inserted")
    }

    fn put_pin(&mut self, id: SessionId, pin: Pin) -> LedgerOutcome {
        let time = self.time;
        let kept = self.book(&id.0).pins.get_mut(&id.1);
        if let Some(kept) = kept {
            let pin = kept.record.clone();
            if kept.touched < time {
                kept.touched = time;
                self.pin_ages.note(time, id);
            }
            return LedgerOutcome::Pinned(pin);
        }
        let kept = Kept { record: pin.clone(), touched: time };
        self.book(&id.0).pins.insert(id.1.clone(), kept);
        if pin.state != PinState::Final {
            self.tentative.insert(id.clone());
        }
        self.pin_ages.note(time, id);
        LedgerOutcome::Pinned(pin)
    }

    fn settle_pin(
        &mut self,
        id: SessionId,
        request: RequestId,
        version: VersionKey,
    ) -> LedgerOutcome {
        let Some(kept) = self.book(&id.0).pins.get_mut(&id.1) else {
            return LedgerOutcome::PinSettled(false);
        };
        let pin = &mut kept.record;
        if pin.state == PinState::Final {
            return LedgerOutcome::PinSettled(pin.version == version);
        }
        if !pin.awaits(request) {
            return LedgerOutcome::PinSettled(false);
        }
        *pin = Pin { version, state: PinState::Final };
        self.tentative.remove(&id);
        LedgerOutcome::PinSettled(true)
    }

    fn put_claim(&mut self, id: ClaimId, claim: Claim) -> LedgerOutcome {
        let time = self.time;
        let book = self.book(&id.0);
        if book.void.contains_key(&claim.request) {
            return LedgerOutcome::Void;
        }
        if let Some(kept) = book.claims.get(&id.1) {
            return LedgerOutcome::Claimed(kept.record.clone());
        }
        let kept = Kept { record: claim.clone(), touched: time };
        book.claims.insert(id.1.clone(), kept);
        self.running.insert(id);
        LedgerOutcome::Claimed(claim)
    }

    fn release(&mut self, id: ClaimId, request: RequestId) -> LedgerOutcome {
        let time = self.time;
        let book = self.book(&id.0);
        let ours = |kept: &Kept<Claim>| {
            let answered = matches!(kept.record.state, ClaimState::Answered(_));
            kept.record.request == request && !answered
        };
        let released = book.claims.get(&id.1).is_some_and(ours);
        if released {
            book.claims.remove(&id.1);
        }
        let first = book.void.insert(request, time).is_none();
        if first {
            self.void_ages.note(time, (id.0.clone(), request));
        }
        if released {
            self.running.remove(&id);
        }
        LedgerOutcome::Released(released)
    }

    fn settle(
        &mut self,
        id: ClaimId,
        request: RequestId,
        answer: Option<StoredAnswer>,
        bill: Option<Bill>,
    ) -> LedgerOutcome {
        let time = self.time;
        let Some(kept) = self.book(&id.0).claims.get_mut(&id.1) else {
            return LedgerOutcome::Settled(false);
        };
        let claim = &mut kept.record;
        if claim.request != request || matches!(claim.state, ClaimState::Answered(_)) {
            return LedgerOutcome::Settled(false);
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
        self.claim_ages.note(time, id);
        LedgerOutcome::Settled(true)
    }

    fn put_bill(&mut self, organisation: OrganisationName, bill: Bill) -> bool {
        let (time, request) = (self.time, bill.request);
        let billed = self.book(&organisation).bill(bill);
        if billed {
            self.bill_ages.note(time, (organisation, request));
        }
        billed
    }

    fn tick(&mut self, from: Duration, elapsed: Duration, retention: &Retention) -> LedgerOutcome {
        if from != self.time {
            return LedgerOutcome::Ticked(self.time);
        }
        self.time += elapsed.min(TICK_LIMIT);
        self.forget_pins(retention.pins);
        self.forget_claims(retention.claims);
        while let Some((_, id)) = self.bill_ages.pop_due(self.time, retention.bills) {
            self.book(&id.0).bills.remove(&id.1);
        }
        while let Some((_, id)) = self.void_ages.pop_due(self.time, retention.claims) {
            self.book(&id.0).void.remove(&id.1);
        }
        LedgerOutcome::Ticked(self.time)
    }

    fn forget_pins(&mut self, window: Duration) {
        while let Some((noted, id)) = self.pin_ages.pop_due(self.time, window) {
            let book = self.book(&id.0);
            // A pin that was used since stands in the queue again.
            if book.pins.get(&id.1).is_some_and(|kept| kept.touched == noted) {
                book.pins.remove(&id.1);
                self.tentative.remove(&id);
            }
        }
    }

    fn forget_claims(&mut self, window: Duration) {
        while let Some((noted, id)) = self.claim_ages.pop_due(self.time, window) {
            let book = self.book(&id.0);
            let due = |kept: &Kept<Claim>| {
                kept.touched == noted && kept.record.state != ClaimState::Running
            };
            if book.claims.get(&id.1).is_some_and(due) {
                book.claims.remove(&id.1);
            }
        }
    }
}
