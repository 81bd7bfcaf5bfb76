use crate::daemon::Node;
use crate::event::{EventPage, EventQuery, EventRecord};
use crate::peer::Link;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;

/// How long to wait for another daemon's events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(2);

/// Events of all daemons in causal order, with the daemons whose events are incomplete.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Timeline {
    /// The events, oldest first: ordered by hybrid logical clock, ties by VM name.
    pub events: Vec<EventRecord>,
    /// Daemons that did not answer, as `VM (ADDRESS)`, or `ADDRESS` if the VM is unknown. Their
    /// events are missing.
    pub missing: Vec<String>,
    /// Daemons that omitted older events because more matched than one daemon returns.
    #[serde(default)]
    pub truncated: Vec<String>,
}

impl Timeline {
    /// Adds the events of one daemon, unsorted.
    fn add_page(&mut self, daemon: &str, page: EventPage) {
        if page.truncated {
            self.truncated.push(daemon.to_owned());
        }
        self.events.extend(page.events);
    }

    /// Sorts the events by hybrid logical clock, which puts them in causal order.
    fn sort(&mut self) {
        self.events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    }
}

/// Collects the events that match a query from all daemons.
///
/// Daemons that cannot be reached are listed in [`Timeline::missing`].
pub async fn collect_timeline(node: &Node, query: &EventQuery) -> Timeline {
    let mut timeline = Timeline::default();
    timeline.add_page(node.settings.vm.as_str(), node.journal.select(query));
    let links = node.cluster.peers().all();
    let requests = links.iter().map(|link| fetch_events(link, query));
    let responses = futures::future::join_all(requests).await;
    for (link, response) in links.iter().zip(responses) {
        let name = daemon_name(link);
        match response {
            Some(page) => timeline.add_page(&name, page),
            None => timeline.missing.push(name),
        }
    }
    timeline.sort();
    timeline
}

/// The VM and address of a daemon, or the address alone if it was never connected.
fn daemon_name(link: &Link) -> String {
    match link.last_heard() {
        Some((identity, _)) => format!("{} ({})", identity.vm, link.address()),
        None => link.address().to_string(),
    }
}

/// Fetches the matching events of one daemon; `None` if it cannot be reached, does not answer in
/// time or sends an event that cannot be parsed.
async fn fetch_events(link: &Arc<Link>, query: &EventQuery) -> Option<EventPage> {
    let client = link.client()?;
    let mut context = context::current();
    context.deadline = Instant::now() + EVENTS_TIMEOUT;
    let response = client.events(context, query.clone()).await.ok()?;
    let parsed = response.lines.iter().map(|line| serde_json::from_str(line).ok());
    Some(EventPage { events: parsed.collect::<Option<_>>()?, truncated: response.truncated })
}
