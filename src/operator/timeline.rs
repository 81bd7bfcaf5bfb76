use crate::daemon::Node;
use crate::event::{EventQuery, EventRecord};
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
    /// Peer addresses that did not answer; their events are missing.
    pub missing: Vec<String>,
}

/// Gathers the selected events of all daemons.
pub async fn collect(node: &Node, query: &EventQuery) -> Timeline {
    let mut timeline = Timeline { events: node.journal.select(query), missing: Vec::new() };
    let links = node.cluster.net().links().iter();
    let answers = futures::future::join_all(links.map(|link| fetch(link, query))).await;
    for (link, answer) in node.cluster.net().links().iter().zip(answers) {
        match answer {
            Some(events) => timeline.events.extend(events),
            None => timeline.missing.push(link.address().to_string()),
        }
    }
    timeline.events.sort_by(|a, b| (a.at, &a.vm).cmp(&(b.at, &b.vm)));
    timeline
}

async fn fetch(link: &Arc<Link>, query: &EventQuery) -> Option<Vec<EventRecord>> {
    let client = link.client()?;
    let mut context = context::current();
    context.deadline = Instant::now() + ANSWER_LIMIT;
    let lines = client.events(context, query.clone()).await.ok()?;
    lines.iter().map(|line| serde_json::from_str(line).ok()).collect()
}
