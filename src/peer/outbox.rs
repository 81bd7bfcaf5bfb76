use super::{PeerClient, PeerNet};
use crate::consensus::MemberId;
use crate::group::Envelope;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::mpsc;

/// Messages taken from the outbox at once.
const BATCH_MESSAGES: usize = 256;
/// How long a batch may travel before it counts as lost; consensus then sends anew.
const STEP_LIMIT: Duration = Duration::from_secs(2);

/// Sends consensus messages to the members that they are for, until the outbox closes. Messages to
/// members that cannot be reached are dropped.
pub async fn dispatch(net: Arc<PeerNet>, mut outbox: mpsc::UnboundedReceiver<Envelope>) {
    let mut batch = Vec::new();
    while outbox.recv_many(&mut batch, BATCH_MESSAGES).await > 0 {
        let mut sorted: BTreeMap<MemberId, Vec<Envelope>> = BTreeMap::new();
        for envelope in batch.drain(..) {
            sorted.entry(envelope.message.to).or_default().push(envelope);
        }
        for (member, messages) in sorted {
            if let Some(client) = net.client_of(member) {
                let mut work = Box::pin(deliver(client, messages));
                // The first poll hands the batch to the connection, which keeps their order.
                if futures::poll!(work.as_mut()).is_pending() {
                    tokio::spawn(work);
                }
            }
        }
    }
}

async fn deliver(client: PeerClient, messages: Vec<Envelope>) {
    let mut context = context::current();
    context.deadline = Instant::now() + STEP_LIMIT;
    if let Err(error) = client.step(context, messages).await {
        log::debug!("consensus messages were lost: {error}");
    }
}
