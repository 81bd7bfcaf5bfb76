use super::{Bill, BillSum, Claim, ClaimState, LedgerCommand, LedgerOutcome, StoredAnswer};
use crate::name::{IdempotencyKey, OrganisationName, RequestId, SessionName, VersionKey};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One organisation's records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
struct Book {
    pins: BTreeMap<SessionName, VersionKey>,
    claims: BTreeMap<IdempotencyKey, Claim>,
    bills: BTreeMap<RequestId, Bill>,
    sum: BillSum,
}

impl Book {
    fn bill(&mut self, bill: Bill) -> bool {
        if self.bills.contains_key(&bill.request) {
            return false;
        }
        self.sum.add(&bill);
        self.bills.insert(bill.request, bill);
        true
    }
}

/// A ledger group's state. Records of one organisation are never visible through another's name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerState {
    books: BTreeMap<OrganisationName, Book>,
}

impl LedgerState {
    /// Applies one committed command.
    pub fn apply(&mut self, command: LedgerCommand) -> LedgerOutcome {
        match command {
            LedgerCommand::Pin { organisation, session, version } => {
                let pins = &mut self.book(organisation).pins;
                LedgerOutcome::Pinned(pins.entry(session).or_insert(version).clone())
            }
            LedgerCommand::Claim { organisation, key, claim } => {
                let claims = &mut self.book(organisation).claims;
                LedgerOutcome::Claimed(claims.entry(key).or_insert(claim).clone())
            }
            LedgerCommand::Release { organisation, key, request } => {
                self.release(organisation, key, request)
            }
            LedgerCommand::Settle { organisation, key, request, answer, bill } => {
                self.settle(organisation, key, request, answer, bill)
            }
            LedgerCommand::Bill { organisation, bill } => {
                LedgerOutcome::Billed(self.book(organisation).bill(bill))
            }
        }
    }

    /// The version that a session is bound to.
    pub fn pin(
        &self,
        organisation: &OrganisationName,
        session: &SessionName,
    ) -> Option<&VersionKey> {
        self.books.get(organisation)?.pins.get(session)
    }

    /// A claim as it stands.
    pub fn claim(&self, organisation: &OrganisationName, key: &IdempotencyKey) -> Option<&Claim> {
        self.books.get(organisation)?.claims.get(key)
    }

    /// The bill of a request.
    pub fn bill(&self, organisation: &OrganisationName, request: RequestId) -> Option<&Bill> {
        self.books.get(organisation)?.bills.get(&request)
    }

    /// Every organisation's bills, added up.
    pub fn sums(&self) -> impl Iterator<Item = (&OrganisationName, &BillSum)> {
        self.books.iter().map(|(name, book)| (name, &book.sum))
    }

    /// Every bill of an organisation.
    pub fn bills(&self, organisation: &OrganisationName) -> impl Iterator<Item = &Bill> {
        self.books.get(organisation).into_iter().flat_map(|book| book.bills.values())
    }

    fn book(&mut self, organisation: OrganisationName) -> &mut Book {
        self.books.entry(organisation).or_default()
    }

    fn release(
        &mut self,
        organisation: OrganisationName,
        key: IdempotencyKey,
        request: RequestId,
    ) -> LedgerOutcome {
        let claims = &mut self.book(organisation).claims;
        let ours = |claim: &Claim| claim.request == request && claim.state == ClaimState::Running;
        let released = claims.get(&key).is_some_and(ours);
        if released {
            claims.remove(&key);
        }
        LedgerOutcome::Released(released)
    }

    fn settle(
        &mut self,
        organisation: OrganisationName,
        key: IdempotencyKey,
        request: RequestId,
        answer: Option<StoredAnswer>,
        bill: Option<Bill>,
    ) -> LedgerOutcome {
        let book = self.book(organisation);
        let Some(claim) = book.claims.get_mut(&key) else { return LedgerOutcome::Settled(false) };
        if claim.request != request || matches!(claim.state, ClaimState::Answered(_)) {
            return LedgerOutcome::Settled(false);
        }
        claim.state = match answer {
            Some(answer) => ClaimState::Answered(answer),
            None => ClaimState::Unknown,
        };
        if let Some(bill) = bill {
            book.bill(bill);
        }
        LedgerOutcome::Settled(true)
    }
}
