//! The checks of a route table before it is sent: each finding, by the rules that refuse one when it is sent.

use bytes::Bytes;
use rstest::rstest;
use samphireshift::check::FindingKind::{Contradiction, NeverUsed, Refused};
use samphireshift::check::{FindingKind, FleetFacts, check_table};
use samphireshift::control::TableEntry::{Limits, Organisation, Pool, Route};
use samphireshift::control::{
    CallKind, CallerLimits, ConfiguredRoute, EngineSpec, KeyHash, PoolShare, PoolSpec, PricedModel,
    RegionRules, RegionScope, RouteOrganisation, RouteTable, TableEntry,
};
use samphireshift::name::{ModelName, OrganisationName, PoolName, Region};
use samphireshift::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

const SETTINGS: &str = "
[vm]
name = entry-1
data_centre = north
role = router
[listen]
callers = 10.0.0.1:8080
peers = 10.0.0.1:7000
[cluster]
secret = a-long-secret
seeds = 10.0.0.2:9000
[platform]
regions = north:west
";

/// A route table with what is known of its fleet.
struct Sample {
    table: RouteTable,
    rules: RegionRules,
    routers: Option<u32>,
    settings: String,
}

impl Sample {
    /// A table in which nothing is found.
    fn sound() -> Self {
        let organisation = RouteOrganisation {
            name: OrganisationName::new("karri"),
            keys: vec![KeyHash::of("key")],
            priority: None,
        };
        let model = PricedModel { name: ModelName::new("small"), cost: 1.0 };
        let engine = EngineSpec { max_batch: 8, cache_tokens: 1_000, models: vec![model] };
        let pool =
            PoolSpec { name: PoolName::new("pool"), max_connections: 8, engine: Some(engine) };
        let table = RouteTable {
            number: 1,
            routes: vec![Arc::new(route("read", "/read/")), Arc::new(route("pay", "/read/pay/"))],
            pools: vec![pool],
            limits: CallerLimits::default(),
            organisations: Some(vec![organisation]),
            document: Bytes::new(),
        };
        let rules = RegionRules::default();
        Self { table, rules, routers: Some(8), settings: SETTINGS.to_owned() }
    }

    fn route(&mut self) -> &mut ConfiguredRoute {
        Arc::make_mut(&mut self.table.routes[0])
    }

    fn organisation(&mut self) -> &mut RouteOrganisation {
        &mut self.table.organisations.as_mut().expect("the sample has organisations")[0]
    }

    fn restrict_route(&mut self, regions: &[&str]) {
        let scope = RegionScope::Route("models.example".to_owned(), "/read/".to_owned());
        self.rules.rules.insert(scope, regions.iter().copied().map(Region::new).collect());
    }

    fn restrict_organisation(&mut self, regions: &[&str]) {
        let scope = RegionScope::Organisation(OrganisationName::new("karri"));
        self.rules.rules.insert(scope, regions.iter().copied().map(Region::new).collect());
    }

    /// Each finding: its kind, entry and text.
    fn findings(&self) -> Vec<(FindingKind, TableEntry, String)> {
        let settings = Settings::parse("router.ini", &self.settings).expect("valid settings");
        let facts = FleetFacts { routers: self.routers, settings: Some(&settings) };
        let found = check_table(&self.table, &self.rules, &facts).into_iter();
        found.map(|one| (one.kind, one.entry, one.text)).collect()
    }
}

fn route(name: &str, prefix: &str) -> ConfiguredRoute {
    ConfiguredRoute {
        name: name.to_owned(),
        host: "models.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(1),
        gap_target: None,
        priority: 0,
        max_attempts: 3,
        public: false,
        models: vec![ModelName::new("small")],
        pools: vec![PoolShare { pool: PoolName::new("pool"), weight: 1 }],
    }
}

/// A change of a sound table, and the only finding in it.
struct TableCase {
    change: fn(&mut Sample),
    kind: FindingKind,
    entry: TableEntry,
    text: &'static str,
}

#[rstest]
#[case::covered(TableCase {
    change: |s| Arc::make_mut(&mut s.table.routes[1]).prefix = "/read/".to_owned(),
    kind: Refused, entry: Route(1), text: "two routes have the same host and path prefix",
})]
#[case::slashes(TableCase {
    change: |s| s.route().prefix = "/read".to_owned(),
    kind: Refused, entry: Route(0), text: "must begin and end with a slash",
})]
#[case::no_timeout(TableCase {
    change: |s| (s.route().timeout, s.route().latency_target) = Default::default(),
    kind: Refused, entry: Route(0), text: "the timeout must be greater than 0",
})]
#[case::shared_key(TableCase {
    change: |s| {
        let mut other = s.organisation().clone();
        other.name = OrganisationName::new("jarrah");
        s.table.organisations.as_mut().expect("organisations").push(other);
    },
    kind: Refused, entry: Organisation(1), text: "also belongs to another organisation",
})]
#[case::host_with_port(TableCase {
    change: |s| s.route().host = "models.example:80".to_owned(),
    kind: NeverUsed, entry: Route(0), text: "no call has the host 'models.example:80'",
})]
#[case::host_of_a_port(TableCase {
    change: |s| s.route().host = ":80".to_owned(),
    kind: NeverUsed, entry: Route(0), text: "no call has the host ':80'",
})]
#[case::query(TableCase {
    change: |s| s.route().prefix = "/read?/".to_owned(),
    kind: NeverUsed, entry: Route(0), text: "no path contains '?'",
})]
#[case::unserved_model(TableCase {
    change: |s| s.route().models.push(ModelName::new("large")),
    kind: NeverUsed, entry: Route(0), text: "none of its pools serves model 'large'",
})]
#[case::gap_without_stream(TableCase {
    change: |s| s.route().gap_target = Some(Duration::from_secs(1)),
    kind: NeverUsed, entry: Route(0), text: "only streams have gaps",
})]
#[case::unused_pool(TableCase {
    change: |s| {
        let spare = PoolSpec { name: PoolName::new("spare"), ..s.table.pools[0].clone() };
        s.table.pools.push(spare);
    },
    kind: NeverUsed, entry: Pool(1), text: "no route sends calls to it",
})]
#[case::pool_twice(TableCase {
    change: |s| s.table.pools.push(s.table.pools[0].clone()),
    kind: NeverUsed, entry: Pool(1), text: "an earlier pool has this name",
})]
#[case::target_over_timeout(TableCase {
    change: |s| s.route().latency_target = Duration::from_secs(4),
    kind: Contradiction, entry: Route(0),
    text: "timeout of 3000 ms is under the target latency of 4000 ms",
})]
#[case::no_target(TableCase {
    change: |s| s.route().latency_target = Duration::ZERO,
    kind: Contradiction, entry: Route(0), text: "no call can keep a target latency of 0",
})]
#[case::gap_over_timeout(TableCase {
    change: |s| {
        s.route().kind = CallKind::Streaming { resumable: false };
        s.route().gap_target = Some(Duration::from_secs(4));
    },
    kind: Contradiction, entry: Route(0), text: "the target gap is longer than the timeout",
})]
#[case::cap_under_routers(TableCase {
    change: |s| s.routers = Some(9),
    kind: Contradiction, entry: Pool(0), text: "accepts 8 connections, and there are 9 routers",
})]
#[case::no_connection(TableCase {
    change: |s| s.table.pools[0].max_connections = 0,
    kind: Contradiction, entry: Pool(0), text: "would accept no connection",
})]
#[case::no_time_for_heads(TableCase {
    change: |s| (s.table.limits.head_timeout, s.table.limits.idle_timeout) = Default::default(),
    kind: Contradiction, entry: Limits, text: "callers get no time to send a request head",
})]
#[case::no_region_in_common(TableCase {
    change: |s| {
        s.settings = s.settings.replace("north:west", "north:west, south:east");
        s.restrict_route(&["west"]);
        s.restrict_organisation(&["east"]);
    },
    kind: Contradiction, entry: Route(0), text: "its calls on this route can be served nowhere",
})]
#[case::unknown_region_of_route(TableCase {
    change: |s| s.restrict_route(&["east"]),
    kind: Contradiction, entry: Route(0), text: "place no data centre in east",
})]
#[case::unknown_region_of_organisation(TableCase {
    change: |s| s.restrict_organisation(&["east"]),
    kind: Contradiction, entry: Organisation(0), text: "place no data centre in east",
})]
fn an_entry_that_is_wrong_is_found(#[case] case: TableCase) {
    let mut sample = Sample::sound();
    (case.change)(&mut sample);
    let found = sample.findings();
    let [(kind, entry, text)] = found.as_slice() else { panic!("{found:?}") };
    assert_eq!((*kind, *entry), (case.kind, case.entry), "{text}");
    assert!(text.contains(case.text), "{text}");
}

/// A change that is wrong in several entries.
struct ManyCase {
    change: fn(&mut Sample),
    texts: &'static [&'static str],
}

#[rstest]
#[case::sound(ManyCase { change: |_| {}, texts: &[] })]
#[case::no_key(ManyCase {
    change: |s| s.organisation().keys.clear(),
    texts: &["route read: it needs an API key", "route pay: it needs an API key", "organisation karri: it has no API key"],
})]
#[case::public_without_key(ManyCase {
    change: |s| {
        s.table.organisations = Some(Vec::new());
        (0..2).for_each(|at| Arc::make_mut(&mut s.table.routes[at]).public = true);
    },
    texts: &[],
})]
#[case::no_organisations(ManyCase { change: |s| s.table.organisations = None, texts: &[] })]
#[case::no_host(ManyCase { change: |s| s.route().host = String::new(), texts: &[] })]
#[case::smallest_head(ManyCase { change: |s| s.table.limits.head_bytes = 0, texts: &[] })]
#[case::idle_only(ManyCase { change: |s| s.table.limits.head_timeout = Duration::ZERO, texts: &[] })]
#[case::head_only(ManyCase { change: |s| s.table.limits.idle_timeout = Duration::ZERO, texts: &[] })]
#[case::no_budget(ManyCase {
    change: |s| s.settings += "[promises]\nrepeats = 0\nrepeat_extra = 0\n",
    texts: &["route read: it allows 3 attempts", "route pay: it allows 3 attempts"],
})]
#[case::extra_is_a_budget(ManyCase {
    change: |s| s.settings += "[promises]\nrepeats = 0\nrepeat_extra = 1\n",
    texts: &[],
})]
#[case::unknown_pool(ManyCase {
    change: |s| {
        s.route().pools[0].pool = PoolName::new("none");
        s.route().models.clear();
    },
    texts: &["route read: pool 'none' does not exist"],
})]
#[case::zero_weight(ManyCase {
    change: |s| {
        s.route().pools[0].weight = 0;
        s.route().models.clear();
    },
    texts: &["route read: the pool weights add up to 0"],
})]
#[case::region_in_common(ManyCase {
    change: |s| {
        s.restrict_route(&["west", "east"]);
        s.restrict_organisation(&["west"]);
    },
    texts: &[],
})]
fn each_entry_is_found_and_no_other(#[case] case: ManyCase) {
    let mut sample = Sample::sound();
    (case.change)(&mut sample);
    let texts: Vec<String> = sample.findings().into_iter().map(|(_, _, text)| text).collect();
    assert_eq!(texts.len(), case.texts.len(), "{texts:?}");
    for (text, part) in texts.iter().zip(case.texts) {
        assert!(text.starts_with(part), "{texts:?}");
    }
}

/// What is refused when it is sent is found by the same function: texts and order are the same.
#[test]
fn the_faults_of_a_table_are_all_found_first() {
    let mut sample = Sample::sound();
    sample.route().timeout = Duration::ZERO;
    sample.route().prefix = "read".to_owned();
    let refused: Vec<String> = sample.table.faults().into_iter().map(|fault| fault.text).collect();
    let found = sample.findings();
    let texts: Vec<String> = found.into_iter().map(|(_, _, text)| text).collect();
    assert_eq!(refused.len(), 2);
    assert_eq!(texts[..2], refused);
}
