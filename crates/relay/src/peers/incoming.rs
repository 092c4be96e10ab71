//! Connections from other instances.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use monsoonspread_decisions::memory_budget::ConnectionKind;
use monsoonspread_model::InstanceName;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, interval, sleep_until};

use super::frame::{Frames, HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, decode, frames, send_all};
use super::message::{PeerReply, PeerRequest};
use crate::guard::{GuardedConnection, GuardedStream};
use crate::shared::Shared;

/// Handles requests of other instances.
pub trait PeerHandler {
    /// Called for each request that arrives from `instance`.
    fn on_request(&self, instance: &InstanceName, request: PeerRequest);
}

/// Reply channels of the connected instances.
#[derive(Clone, Default)]
pub struct Incoming {
    replies: Rc<RefCell<HashMap<InstanceName, UnboundedSender<PeerReply>>>>,
}

impl Incoming {
    /// Sends `reply` to `instance` if it is connected; otherwise the instance repeats its request.
    pub fn reply(&self, instance: &InstanceName, reply: PeerReply) {
        if let Some(queue) = self.replies.borrow().get(instance) {
            // The connection is closing; the instance repeats its request.
            let _ = queue.send(reply);
        }
    }
}

/// Accepts connections of other instances for the life of the process.
pub async fn accept_peers(listener: TcpListener, shared: Rc<Shared>, handler: Rc<dyn PeerHandler>) {
    let kind = ConnectionKind::Peer;
    loop {
        let accepted = shared.guard.accept(&listener, kind, &shared.metrics).await;
        let (stream, guarded) = accepted;
        let (incoming, handler) = (shared.incoming.clone(), Rc::clone(&handler));
        tokio::task::spawn_local(async move {
            guarded
                .run(serve(stream, &guarded, incoming, handler))
                .await;
        });
    }
}

async fn serve(
    stream: GuardedStream,
    guarded: &GuardedConnection,
    incoming: Incoming,
    handler: Rc<dyn PeerHandler>,
) {
    let mut frames = frames(stream);
    let first =
        tokio::time::timeout(Duration::from_millis(HEARTBEAT_TIMEOUT_MS), frames.next()).await;
    let Ok(Some(Ok(bytes))) = first else {
        return;
    };
    let Some(PeerRequest::Hello(instance)) = decode(&bytes) else {
        return;
    };
    guarded.on_request();
    let (queue, replies) = unbounded_channel();
    incoming
        .replies
        .borrow_mut()
        .insert(instance.clone(), queue.clone());
    handler.on_request(&instance, PeerRequest::Hello(instance.clone()));
    run_connection(frames, replies, &instance, handler.as_ref()).await;
    let mut open = incoming.replies.borrow_mut();
    if open
        .get(&instance)
        .is_some_and(|newest| newest.same_channel(&queue))
    {
        open.remove(&instance);
    }
}

async fn run_connection(
    mut frames: Frames<GuardedStream>,
    mut replies: UnboundedReceiver<PeerReply>,
    instance: &InstanceName,
    handler: &dyn PeerHandler,
) {
    let mut heartbeat = interval(Duration::from_millis(HEARTBEAT_INTERVAL_MS));
    let mut dead_at = Instant::now() + Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(Ok(bytes)) = frame else { return };
                dead_at = Instant::now() + Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
                let Some(request) = decode(&bytes) else { return };
                handler.on_request(instance, request);
            }
            Some(reply) = replies.recv() => {
                if send_all(&mut frames, &reply, &mut replies).await.is_none() { return }
            }
            _ = heartbeat.tick() => {
                if send_all(&mut frames, &PeerReply::Heartbeat, &mut replies).await.is_none() {
                    return;
                }
            }
            () = sleep_until(dead_at) => return,
        }
    }
}
