use super::{PeerClient, PeerLinks};
use crate::consensus::MemberId;
use crate::group::Envelope;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context;
use tokio::sync::mpsc;

/// Maximum number of messages that are taken from the outbox at once.
const MAX_BATCH_MESSAGES: usize = 256;
/// Timeout of the delivery of a batch. Lost messages are not retried here; consensus sends again.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the consensus messages of the outbox to their receivers until the outbox is closed.
/// Messages to members that are not connected are dropped.
pub async fn dispatch_outbox(peers: Arc<PeerLinks>, mut outbox: mpsc::UnboundedReceiver<Envelope>) {
    let mut batch = Vec::new();
    while outbox.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let mut by_member: BTreeMap<MemberId, Vec<Envelope>> = BTreeMap::new();
        for envelope in batch.drain(..) {
            by_member.entry(envelope.message.to).or_default().push(envelope);
        }
        for (member, messages) in by_member {
            if let Some(client) = peers.member_client(member) {
                let mut delivery = Box::pin(deliver(client, messages));
                // The first poll passes the batch to the connection, so batches to the same member
                // are sent in order.
                if futures::poll!(delivery.as_mut()).is_pending() {
                    tokio::spawn(delivery);
                }
            }
        }
    }
}

async fn deliver(client: PeerClient, messages: Vec<Envelope>) {
    let mut context = context::current();
    context.deadline = Instant::now() + DELIVERY_TIMEOUT;
    if let Err(error) = client.step(context, messages).await {
        log::debug!("consensus messages may not have been delivered: {error}");
    }
}
