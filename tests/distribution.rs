//! Distribution of the configuration and the VM list to routers: whatever is lost, doubled, late or
//! restarted, a router ends with the state of the leader, and a change costs bytes in its own size.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use samphireshift::control::{
    CallKind, CallerLimits, Config, ConfiguredRoute, KeyHash, PoolRollout, PoolShare, PoolSpec,
    RouteOrganisation, RouteTable,
};
use samphireshift::distribution::{
    CHUNK_BYTES, Chunk, ContentDigest, FIRST_CHUNK_BYTES, Position, Publisher, RouterState,
    config_from_entries,
};
use samphireshift::name::{DataCentre, OrganisationName, PoolName, VersionName, VmName};
use samphireshift::vms::{Vm, VmState};
use std::sync::Arc;
use std::time::Duration;

fn route(number: u32, timeout_ms: u64) -> Arc<ConfiguredRoute> {
    Arc::new(ConfiguredRoute {
        name: format!("r-{number}"),
        host: format!("host-{}.example", number % 3),
        prefix: format!("/path-{number}/"),
        kind: CallKind::Idempotent,
        timeout: Duration::from_millis(timeout_ms),
        latency_target: Duration::from_millis(300),
        gap_target: None,
        priority: 1,
        max_attempts: 3,
        public: false,
        models: Vec::new(),
        pools: vec![PoolShare { pool: PoolName::new("pool"), weight: 1 }],
    })
}

fn organisation(number: u32, keys: u32) -> RouteOrganisation {
    let keys = (0..keys).map(|key| KeyHash::of(&format!("{number}-{key}"))).collect();
    RouteOrganisation { name: OrganisationName::new(format!("o-{number}")), keys, priority: None }
}

fn config(revision: u64, routes: Vec<Arc<ConfiguredRoute>>) -> Arc<Config> {
    let table = RouteTable {
        number: revision,
        document: Bytes::from(vec![b'x'; 400 * routes.len()]),
        routes,
        pools: vec![PoolSpec { name: PoolName::new("pool"), max_connections: 8, engine: None }],
        limits: CallerLimits::default(),
        organisations: Some(vec![organisation(0, 2)]),
    };
    Arc::new(Config { revision, route_table: Some(Arc::new(table)), ..Config::default() })
}

fn large_config(revision: u64, count: u32, timeout_ms: u64) -> Arc<Config> {
    let changed = |number| if number == 7 { timeout_ms } else { 1_000 };
    config(revision, (0..count).map(|number| route(number, changed(number))).collect())
}

fn vm(number: u32, state: VmState) -> Vm {
    Vm {
        name: VmName::new(format!("vm-{number}")),
        address: ([127, 0, 0, 1], number as u16).into(),
        data_centre: DataCentre::new("dc"),
        pool: PoolName::new("pool"),
        state,
        version: None,
        slots: 4,
    }
}

/// Reads all that a router lacks; returns the number of bytes and of chunks.
fn read_all(publisher: &Publisher, router: &mut RouterState) -> (usize, usize) {
    let (mut bytes, mut chunks) = (0, 0);
    while let Some(chunk) = publisher.read_config(&router.config_position()) {
        bytes += chunk.bytes.len();
        chunks += 1;
        router.receive_config(Some(&chunk)).unwrap();
    }
    (bytes, chunks)
}

/// The configuration that a router has, read back by installing the same state again.
fn held(router: &mut RouterState, config: &Config) -> Config {
    let mut copy = RouterState::default();
    let expected = copy.replace_config(config);
    assert_eq!(router.config_position().base, copy.config_position().base);
    expected
}

#[rstest]
#[case::small_table(10)]
#[case::large_table(2_000)]
fn a_change_of_one_route_costs_bytes_in_its_own_size(#[case] count: u32) {
    const MAX_CHANGE_BYTES: usize = 400;
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    publisher.publish_config(&large_config(1, count, 1_000));
    read_all(&publisher, &mut router);
    let changed = large_config(2, count, 2_000);
    publisher.publish_config(&changed);
    let (bytes, chunks) = read_all(&publisher, &mut router);
    assert!(bytes < MAX_CHANGE_BYTES, "{bytes} bytes");
    assert_eq!(chunks, 1);
    held(&mut router, &changed);
}

/// Guards against a router that starts and needs a round trip for each 32 KiB of a large table.
#[test]
fn a_router_without_a_lease_gets_a_large_table_in_few_chunks() {
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    let config = large_config(1, 4_249, 1_000);
    publisher.publish_config(&config);
    let mut chunks = 0;
    while let Some(chunk) =
        publisher.read_config_up_to(&router.config_position(), FIRST_CHUNK_BYTES)
    {
        assert!(chunk.bytes.len() <= FIRST_CHUNK_BYTES);
        chunks += 1;
        router.receive_config(Some(&chunk)).unwrap();
    }
    assert!(chunks <= 3, "{chunks} chunks");
    held(&mut router, &config);
}

#[test]
fn the_operators_document_is_not_sent() {
    const DOCUMENT_BYTES: usize = 400 * 2_000;
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    let whole = large_config(1, 2_000, 1_000);
    publisher.publish_config(&whole);
    let (bytes, _) = read_all(&publisher, &mut router);
    assert!(bytes < DOCUMENT_BYTES / 2, "{bytes} bytes");
    let table = publisher.whole_config().route_table.clone().unwrap();
    assert!(table.document.is_empty());
    assert_eq!(table.routes.len(), 2_000);
    assert!(table.routes.is_sorted_by_key(|route| (route.host.clone(), route.prefix.clone())));
}

#[test]
fn a_large_state_comes_in_bounded_chunks_and_goes_on_while_it_changes() {
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    publisher.publish_config(&large_config(1, 2_000, 1_000));
    let mut transfers = Vec::new();
    let mut revision = 1;
    while let Some(chunk) = publisher.read_config(&router.config_position()) {
        assert!(chunk.bytes.len() <= CHUNK_BYTES);
        transfers.push(chunk.transfer);
        router.receive_config(Some(&chunk)).unwrap();
        if revision < 4 {
            revision += 1;
            publisher.publish_config(&large_config(revision, 2_000, 1_000 + revision));
        }
    }
    assert!(transfers.len() > 2, "the state must not fit into a chunk");
    assert!(transfers.iter().all(|transfer| *transfer == transfers[0]), "a transfer began anew");
    held(&mut router, &large_config(revision, 2_000, 1_000 + revision));
}

#[test]
fn all_routers_share_one_encoding_of_a_change() {
    let publisher = Publisher::default();
    publisher.publish_config(&large_config(1, 100, 1_000));
    let mut routers: Vec<RouterState> = (0..191).map(|_| RouterState::default()).collect();
    for router in &mut routers {
        read_all(&publisher, router);
    }
    publisher.publish_config(&large_config(2, 100, 2_000));
    let mut chunks =
        routers.iter().map(|router| publisher.read_config(&router.config_position()).unwrap());
    let first = chunks.next().unwrap();
    assert!(chunks.all(|chunk| chunk == first));
}

#[test]
fn a_transfer_that_was_spoilt_is_noticed_and_read_anew() {
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    let wanted = large_config(1, 20, 1_000);
    publisher.publish_config(&wanted);
    let chunk = publisher.read_config(&router.config_position()).unwrap();
    assert_eq!(chunk.remaining, 0);
    let name_at = chunk.bytes.windows(3).position(|window| window == b"r-7").unwrap();
    let mut bytes = chunk.bytes.to_vec();
    bytes[name_at] = b'x';
    let spoilt = Chunk { bytes: bytes.into(), ..chunk };
    assert!(router.receive_config(Some(&spoilt)).is_err());
    assert_eq!(router.config_position().base, ContentDigest::EMPTY);
    read_all(&publisher, &mut router);
    held(&mut router, &wanted);
}

#[test]
fn a_transfer_beyond_the_limit_is_refused() {
    let mut router = RouterState::default();
    let bytes = Bytes::from_static(b"x");
    let chunk = Chunk { transfer: 1, offset: 0, bytes, remaining: u64::MAX };
    assert!(router.receive_config(Some(&chunk)).is_err());
    assert!(!router.is_receiving());
}

#[test]
fn a_position_from_another_leader_or_nonsense_gets_a_usable_chunk() {
    let publisher = Publisher::default();
    publisher.publish_config(&large_config(1, 20, 1_000));
    for (transfer, offset) in [(None, 5), (Some(7), 0), (Some(7), u64::MAX), (None, u64::MAX)] {
        let position = Position { transfer, offset, ..Position::default() };
        let chunk = publisher.read_config(&position).unwrap();
        assert_eq!(chunk.offset, 0);
        assert!(!chunk.bytes.is_empty());
    }
}

#[test]
fn a_vm_list_that_returns_to_an_earlier_state_is_followed() {
    let (publisher, mut router) = (Publisher::default(), RouterState::default());
    let mut list: Vec<Vm> = (0..80).map(|number| vm(number, VmState::Live)).collect();
    publisher.publish_vms(&list);
    let mut live = Vec::new();
    for step in 0..12 {
        list[3].state = if step % 2 == 0 { VmState::Leaving } else { VmState::Live };
        list[5].slots = step / 4;
        publisher.publish_vms(&list);
        while let Some(chunk) = publisher.read_vms(&router.vms_position()) {
            assert!(step == 0 || chunk.bytes.len() < 300, "{} bytes", chunk.bytes.len());
            live = router.receive_vms(Some(&chunk)).unwrap().unwrap_or(live);
        }
        assert_eq!(live.len(), 79 + step as usize % 2);
    }
}

#[test]
fn namesakes_keep_all_their_keys() {
    let mut config = Config::clone(&config(1, vec![route(0, 1_000)]));
    let table = Arc::make_mut(config.route_table.as_mut().unwrap());
    let second = RouteOrganisation { keys: vec![KeyHash::of("second")], ..organisation(0, 0) };
    let urgent = RouteOrganisation { priority: Some(0), ..organisation(0, 1) };
    table.organisations = Some(vec![organisation(0, 2), second, urgent]);
    let held = RouterState::default().replace_config(&config);
    let organisations = held.route_table.as_ref().unwrap().organisations.clone().unwrap();
    let counts: Vec<(Option<u8>, usize)> =
        organisations.iter().map(|owner| (owner.priority, owner.keys.len())).collect();
    assert_eq!(counts, [(None, 3), (Some(0), 1)]);
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    SetRoute(u32, u64),
    RemoveRoute(u32),
    AddRoutes(u32),
    SetKeys(u32, u32),
    AdvanceRollout(u32),
    /// A router asks, and the response is held back.
    Ask(usize),
    /// The oldest response that was held back arrives.
    Deliver,
    /// The newest response that was held back arrives, and stays held back as well.
    DeliverTwice,
    Lose,
    RestartRouter(usize),
    RestartLeader,
}

const ROUTERS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..60u32, 1..5u64).prop_map(|(number, timeout)| Step::SetRoute(number, timeout)),
        (0..60u32).prop_map(Step::RemoveRoute),
        (1..900u32).prop_map(Step::AddRoutes),
        (0..4u32, 0..3u32).prop_map(|(number, keys)| Step::SetKeys(number, keys)),
        (0..1_000u32).prop_map(Step::AdvanceRollout),
        (0..ROUTERS).prop_map(Step::Ask),
        (0..ROUTERS).prop_map(Step::Ask),
        Just(Step::Deliver),
        Just(Step::Deliver),
        Just(Step::DeliverTwice),
        Just(Step::Lose),
        (0..ROUTERS).prop_map(Step::RestartRouter),
        Just(Step::RestartLeader),
    ]
}

/// A leader, routers and responses that are under way.
struct History {
    config: Config,
    publisher: Publisher,
    routers: Vec<RouterState>,
    /// Incarnations of the routers; a response to an earlier one does not arrive.
    runs: Vec<u32>,
    responses: Vec<(usize, u32, Chunk)>,
}

impl History {
    fn new() -> Self {
        let publisher = Publisher::default();
        let config = Config::clone(&config(1, Vec::new()));
        publisher.publish_config(&Arc::new(config.clone()));
        let routers = (0..ROUTERS).map(|_| RouterState::default()).collect();
        Self { config, publisher, routers, runs: vec![0; ROUTERS], responses: Vec::new() }
    }

    fn change<F>(&mut self, change: F)
    where
        F: FnOnce(&mut RouteTable),
    {
        let mut table = RouteTable::clone(self.config.route_table.as_ref().unwrap());
        change(&mut table);
        self.config.route_table = Some(Arc::new(table));
        self.publish();
    }

    fn publish(&mut self) {
        self.config.revision += 1;
        self.publisher.publish_config(&Arc::new(self.config.clone()));
    }

    fn deliver(&mut self, (router, run, chunk): (usize, u32, Chunk)) {
        if self.runs[router] == run {
            // A late response may be of no use to the router. It must only do no harm.
            let _ = self.routers[router].receive_config(Some(&chunk));
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::SetRoute(number, timeout) => self.change(|table| {
                table.routes.retain(|other| other.prefix != route(number, 1).prefix);
                table.routes.push(route(number, timeout));
            }),
            Step::RemoveRoute(number) => self.change(|table| {
                table.routes.retain(|other| other.prefix != route(number, 1).prefix);
            }),
            Step::AddRoutes(count) => self.change(|table| {
                let start = 100 + table.routes.len() as u32;
                table.routes.extend((start..start + count).map(|number| route(number, 9)));
                let mut seen = std::collections::BTreeSet::new();
                table.routes.retain(|route| seen.insert(route.prefix.clone()));
            }),
            Step::SetKeys(number, keys) => self.change(|table| {
                let organisations = table.organisations.get_or_insert_default();
                organisations.retain(|other| other.name != organisation(number, 0).name);
                organisations.push(organisation(number, keys));
            }),
            Step::AdvanceRollout(share) => {
                let pool = PoolName::new("pool");
                let limit = Duration::from_secs(12);
                let rollout = PoolRollout::new(pool.clone(), VersionName::new("v2"), limit);
                self.config.pool_rollouts.insert(pool, PoolRollout { share, ..rollout });
                self.publish();
            }
            Step::Ask(router) => {
                let position = self.routers[router].config_position();
                let chunk = self.publisher.read_config(&position);
                self.responses.extend(chunk.map(|chunk| (router, self.runs[router], chunk)));
            }
            Step::Deliver if !self.responses.is_empty() => {
                let response = self.responses.remove(0);
                self.deliver(response);
            }
            Step::DeliverTwice => {
                if let Some(response) = self.responses.last().cloned() {
                    self.deliver(response);
                }
            }
            Step::Lose => {
                self.responses.pop();
            }
            Step::RestartRouter(router) => {
                self.routers[router] = RouterState::default();
                self.runs[router] += 1;
            }
            Step::RestartLeader => {
                self.publisher = Publisher::default();
                self.publisher.publish_config(&Arc::new(self.config.clone()));
            }
            Step::Deliver => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn every_router_ends_with_the_state_of_the_log(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut history = History::new();
        steps.into_iter().for_each(|step| history.run(step));
        let expected = RouterState::default().replace_config(&history.config);
        prop_assert_eq!(&*history.publisher.whole_config(), &expected);
        let History { publisher, mut routers, .. } = history;
        for router in &mut routers {
            let mut config = None;
            while let Some(chunk) = publisher.read_config(&router.config_position()) {
                config = router.receive_config(Some(&chunk)).unwrap().or(config);
            }
            if let Some(config) = config {
                prop_assert_eq!(&*config, &expected);
            }
            prop_assert!(publisher.read_config(&router.config_position()).is_none());
        }
    }
}

#[test]
fn a_configuration_survives_the_way_to_entries_and_back() {
    use samphireshift::distribution::{ConfigEntry, ConfigSet, config_entries};
    let source = large_config(5, 40, 1_000);
    let mut set = ConfigSet::new(ConfigEntry::key);
    set.replace(config_entries(&source, true), |_| true);
    let back = config_from_entries(&set);
    let (table, expected) = (back.route_table.unwrap(), source.route_table.clone().unwrap());
    assert_eq!((back.revision, table.number), (5, 5));
    assert_eq!(table.routes.len(), expected.routes.len());
    assert!(expected.routes.iter().all(|route| table.routes.contains(route)));
    assert_eq!((&table.pools, &table.organisations), (&expected.pools, &expected.organisations));
}
