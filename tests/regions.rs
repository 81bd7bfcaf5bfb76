//! The regions in which calls may be served, in the replicated state and on their way to the
//! routers: kept by snapshots, and without effect on what builds read that do not know them.

use bytes::Bytes;
use rstest::rstest;
use samphireshift::control::{
    AllowedRegions, CallerLimits, Config, ControlCommand, ControlState, RegionRules, RegionScope,
    RouteTable,
};
use samphireshift::distribution::{
    CHUNK_BYTES, Change, Chunk, ConfigEntry, ConfigKey, Publisher, RouterState, config_entries,
};
use samphireshift::group::ReplicatedState;
use samphireshift::name::{DataCentre, OrganisationName, Region};
use samphireshift::peer::ProtocolVersion;
use std::collections::BTreeSet;
use std::sync::Arc;

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names.iter().map(|name| Region::new(*name)).collect()
}

struct AllowedCase {
    route: Option<&'static [&'static str]>,
    organisation: Option<&'static [&'static str]>,
    /// Whether a call may be served in west, in east, and in no known region.
    allowed: [bool; 3],
}

#[rstest]
#[case::no_rule(AllowedCase { route: None, organisation: None, allowed: [true, true, true] })]
#[case::route(AllowedCase {
    route: Some(&["west"]), organisation: None, allowed: [true, false, false],
})]
#[case::organisation(AllowedCase {
    route: None, organisation: Some(&["east", "south"]), allowed: [false, true, false],
})]
#[case::both_agree(AllowedCase {
    route: Some(&["west", "east"]), organisation: Some(&["east"]), allowed: [false, true, false],
})]
#[case::both_leave_nothing(AllowedCase {
    route: Some(&["west"]), organisation: Some(&["east"]), allowed: [false, false, false],
})]
fn a_call_may_be_served_where_all_its_rules_say_so(#[case] case: AllowedCase) {
    let (route, organisation) = (case.route.map(regions), case.organisation.map(regions));
    let allowed = AllowedRegions { route: route.as_ref(), organisation: organisation.as_ref() };
    let (west, east) = (Region::new("west"), Region::new("east"));
    let found = [Some(&west), Some(&east), None].map(|region| allowed.contains(region));
    assert_eq!(found, case.allowed);
}

fn table(number: u64) -> Arc<RouteTable> {
    Arc::new(RouteTable {
        number,
        routes: Vec::new(),
        pools: Vec::new(),
        limits: CallerLimits::default(),
        organisations: None,
        document: Bytes::from_static(b"{}"),
    })
}

/// Rules for the organisation of this name.
fn rules(organisation: &str, names: &[&str]) -> RegionRules {
    let scope = RegionScope::Organisation(OrganisationName::new(organisation));
    RegionRules { rules: [(scope, regions(names))].into() }
}

fn with_rules(number: u64, rules: &RegionRules) -> ControlCommand {
    ControlCommand::ReplaceTableInRegions(table(number), Arc::new(rules.clone()))
}

fn without_rules(number: u64) -> ControlCommand {
    ControlCommand::ReplaceRouteTable(table(number))
}

fn evacuate(name: &str, begin: bool) -> ControlCommand {
    let data_centre = DataCentre::new(name);
    match begin {
        true => ControlCommand::BeginEvacuation(data_centre),
        false => ControlCommand::FinishEvacuation(data_centre),
    }
}

fn apply(state: &mut ReplicatedState, command: &ControlCommand) {
    state.apply(&postcard::to_stdvec(command).unwrap()).unwrap();
}

fn restart(state: &ReplicatedState) -> ReplicatedState {
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&state.snapshot()).unwrap();
    restored
}

fn config(state: &ReplicatedState) -> &Arc<Config> {
    match state {
        ReplicatedState::Control(state) => state.config(),
        ReplicatedState::Ledger(_) => unreachable!("the state is the control group's"),
    }
}

/// Rules come and go with the table that they belong to, through restarts and evacuations.
#[test]
fn the_rules_are_those_of_the_newest_table() {
    let (first, second) = (rules("karri", &["west"]), rules("vanraj", &["east", "south"]));
    let steps = [
        (with_rules(1, &first), &first),
        (evacuate("north", true), &first),
        (with_rules(1, &second), &first),
        (without_rules(1), &first),
        (with_rules(2, &second), &second),
        (evacuate("north", false), &second),
        (without_rules(3), &RegionRules::default()),
        (with_rules(2, &first), &RegionRules::default()),
        (with_rules(4, &first), &first),
    ];
    let mut state = ReplicatedState::Control(ControlState::default());
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    for (at, (command, expected)) in steps.iter().enumerate() {
        apply(&mut state, command);
        assert_eq!(&*config(&state).region_rules, *expected, "step {at}");
        state = restart(&state);
        assert_eq!(&*config(&state).region_rules, *expected, "step {at} after a restart");
        publisher.publish_config(config(&state));
        let chunk = publisher.read_config(&router.config_position());
        if let Some(learned) = router.receive_config(chunk.as_ref()).unwrap() {
            assert_eq!(&*learned.region_rules, *expected, "step {at} at a router");
        }
        assert_eq!(*publisher.whole_config().region_rules, **expected, "step {at} as a whole");
    }
}

/// Guards against a change of what earlier builds read: without rules nothing is encoded for them.
#[test]
fn without_rules_all_is_encoded_as_before() {
    let mut state = ReplicatedState::Control(ControlState::default());
    apply(&mut state, &with_rules(1, &rules("karri", &["west"])));
    apply(&mut state, &evacuate("north", true));
    let ReplicatedState::Control(control) = &state else { unreachable!() };
    let earlier = |control: &ControlState| {
        let blocked = control.blocked_parts();
        let evacuations = (&control.config().evacuated, control.ordered_centres());
        let versions = control.pool_versions();
        postcard::to_stdvec(&(control, blocked, &blocked.requests, versions, evacuations)).unwrap()
    };
    // A build without rules leaves them unread at the end.
    assert!(state.snapshot().starts_with(&earlier(control)));
    assert!(state.snapshot().len() > earlier(control).len());
    apply(&mut state, &without_rules(2));
    let ReplicatedState::Control(control) = &state else { unreachable!() };
    assert_eq!(state.snapshot(), earlier(control));
    let is_rule = |entry: &ConfigEntry| matches!(entry, ConfigEntry::Regions(..));
    assert!(!config_entries(control.config(), true).iter().any(is_rule));
    // What earlier builds wrote is read.
    let mut restored = ReplicatedState::Control(ControlState::default());
    restored.restore(&earlier(control)).unwrap();
    assert_eq!(config(&restored), control.config());
}

/// The version that the changes of a transfer need, as its bytes tell.
fn version_of(bytes: &[u8]) -> ProtocolVersion {
    let mut rest = bytes;
    let mut needed = ProtocolVersion::FIRST;
    while !rest.is_empty() {
        let (change, more): (Change<ConfigKey, ConfigEntry>, _) =
            postcard::take_from_bytes(rest).unwrap();
        rest = more;
        let keys = change.set.iter().map(ConfigEntry::key).chain(change.removed);
        needed = keys.map(|key| key.needs()).max().unwrap_or(needed).max(needed);
    }
    needed
}

/// A router of an earlier build, which cannot read what is beyond its version.
struct Earlier {
    version: ProtocolVersion,
    state: RouterState,
    config: Option<Arc<Config>>,
    transfer: Vec<u8>,
}

impl Earlier {
    fn new(version: ProtocolVersion) -> Self {
        Self { version, state: RouterState::default(), config: None, transfer: Vec::new() }
    }

    fn take(&mut self, chunk: Option<&Chunk>) {
        if let Some(chunk) = chunk {
            self.transfer.truncate(chunk.offset as usize);
            self.transfer.extend(&chunk.bytes);
            if chunk.is_last() {
                assert!(version_of(&self.transfer) <= self.version, "it cannot read that");
            }
        }
        if let Some(config) = self.state.receive_config(chunk).unwrap() {
            self.config = Some(config);
        }
    }

    /// Reads all there is; returns whether it gets a lease.
    fn read(&mut self, publisher: &Publisher, limit: usize) -> bool {
        loop {
            let position = self.state.config_position();
            let Ok(chunk) = publisher.read_config_for(self.version, &position, limit) else {
                return false;
            };
            self.take(chunk.as_ref());
            if chunk.is_none_or(|chunk| chunk.is_last()) {
                return true;
            }
        }
    }
}

struct EarlierCase {
    version: ProtocolVersion,
    /// Whether it gets a lease after each of the steps.
    leases: [bool; 6],
}

/// Guards against a router of an earlier build that stays without a lease after an evacuation, or
/// after rules were taken away, as it cannot read the log past them.
#[rstest]
#[case::knows_neither(EarlierCase {
    version: ProtocolVersion::LEASED_CHANGES, leases: [true, false, true, false, false, true],
})]
#[case::knows_evacuations(EarlierCase {
    version: ProtocolVersion::COLD_SERVERS, leases: [true, true, true, false, false, true],
})]
#[case::knows_both(EarlierCase { version: ProtocolVersion::REGIONS, leases: [true; 6] })]
fn a_router_of_an_earlier_build_works_on_afterwards(
    #[case] case: EarlierCase,
    #[values(7, CHUNK_BYTES)] limit: usize,
) {
    let some = rules("karri", &["west"]);
    let steps = [
        without_rules(1),
        evacuate("north", true),
        evacuate("north", false),
        with_rules(2, &some),
        evacuate("south", true),
        without_rules(3),
    ];
    let mut state = ReplicatedState::Control(ControlState::default());
    let publisher = Publisher::default();
    let mut router = Earlier::new(case.version);
    for (at, (step, lease)) in steps.iter().zip(case.leases).enumerate() {
        apply(&mut state, step);
        if at == 5 {
            apply(&mut state, &evacuate("south", false));
        }
        publisher.publish_config(config(&state));
        assert_eq!(router.read(&publisher, limit), lease, "after step {at}");
        if lease {
            let known = router.config.as_ref().expect("it has a configuration");
            assert_eq!(known.revision, config(&state).revision, "after step {at}");
            assert_eq!(known.evacuated, config(&state).evacuated, "after step {at}");
        }
    }
}

/// A router that reads a part of a transfer, and the rest of it after the evacuation began and
/// ended.
#[test]
fn a_transfer_that_an_evacuation_interrupts_begins_anew() {
    let mut state = ReplicatedState::Control(ControlState::default());
    let publisher = Publisher::default();
    let mut router = Earlier::new(ProtocolVersion::FIRST);
    apply(&mut state, &without_rules(1));
    publisher.publish_config(config(&state));
    let position = router.state.config_position();
    let chunk = publisher.read_config_for(router.version, &position, 3).expect("it may read");
    router.take(chunk.as_ref());
    for begin in [true, false] {
        apply(&mut state, &evacuate("north", begin));
        publisher.publish_config(config(&state));
    }
    assert!(router.read(&publisher, 3));
    assert_eq!(router.config.expect("it has all").revision, 3);
}
