use crate::daemon::Node;
use crate::event::{EventPage, EventQuery, EventRecord};
use crate::peer::Link;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;

/// How long another daemon may take to send its events.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Events of all daemons in causal order, and what is missing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Timeline {
    /// The events, oldest first.
    pub events: Vec<EventRecord>,
    /// Daemons that did not answer; their events are missing.
    pub missing: Vec<String>,
    /// Daemons that left older events out because there are too many.
    #[serde(default)]
    pub truncated: Vec<String>,
}

impl Timeline {
    /// Adds a daemon's events.
    fn add(&mut self, daemon: &str, page: EventPage) {
        if page.truncated {
            self.truncated.push(daemon.to_owned());
        }
        self.events.extend(page.events);
    }

    /// Brings the events into causal order.
    fn sort(&mut self) {
        self.events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    }
}

/// Gathers the selected events of all daemons.
pub async fn collect(node: &Node, query: &EventQuery) -> Timeline {
    let mut timeline = Timeline::default();
    timeline.add(node.settings.vm.as_str(), node.journal.select(query));
    let links = node.cluster.peers().all();
    let asks = links.iter().map(|link| fetch(link, query));
    let answers = futures::future::join_all(asks).await;
    for (link, answer) in links.iter().zip(answers) {
        let name = daemon_name(link);
        match answer {
            Some(page) => timeline.add(&name, page),
            None => timeline.missing.push(name),
        }
    }
    timeline.sort();
    timeline
}

/// Its VM and address, as far as they were ever known.
fn daemon_name(link: &Link) -> String {
    match link.last_heard() {
        Some((identity, _)) => format!("{} ({})", identity.vm, link.address()),
        None => link.address().to_string(),
    }
}

async fn fetch(link: &Arc<Link>, query: &EventQuery) -> Option<EventPage> {
    let client = link.client()?;
    let mut context = context::current();
    context.deadline = Instant::now() + ANSWER_LIMIT;
    let answer = client.events(context, query.clone()).await.ok()?;
    let parsed = answer.lines.iter().map(|line| serde_json::from_str(line).ok());
    Some(EventPage { events: parsed.collect::<Option<_>>()?, truncated: answer.truncated })
}
