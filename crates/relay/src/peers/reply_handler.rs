//! Handling of the replies of one instance.

use monsoonspread_model::InstanceName;
use tokio::sync::mpsc::UnboundedSender;

use super::link::{Answer, CopyRequestFailure, FeedMessage, FeedNews, GrantedCopy};
use super::message::PeerReply;
use super::pending::PendingAnswers;
use crate::gossip::ReceivedGossip;

/// Handles the replies of one instance.
pub(super) struct ReplyHandler {
    pub(super) peer: InstanceName,
    pub(super) pending: PendingAnswers,
    pub(super) feed: UnboundedSender<FeedMessage>,
    pub(super) gossip: UnboundedSender<ReceivedGossip>,
}

impl ReplyHandler {
    pub(super) fn on_reply(&self, reply: PeerReply) {
        match reply {
            PeerReply::Heartbeat => {}
            PeerReply::Received(number) => {
                if let Some(request) = self.pending.copies.borrow().get(&number) {
                    request.received.set(true);
                }
            }
            PeerReply::Granted {
                number,
                running,
                version,
            } => self.on_answer(number, Ok(GrantedCopy { running, version })),
            PeerReply::Refused { number, reason } => {
                self.on_answer(number, Err(CopyRequestFailure::Refused(reason)));
            }
            PeerReply::Quoted { number, quote } => {
                if let Some(question) = self.pending.quotes.borrow_mut().remove(&number) {
                    // The requester has already decided without the quote.
                    let _ = question.send(quote);
                }
            }
            PeerReply::Permit(permit) => {
                if let Some(request) = self.pending.permits.borrow_mut().remove(&permit.number) {
                    // The requester stopped waiting; the permit expires unused.
                    let _ = request.send(permit);
                }
            }
            PeerReply::Changes(changes) => self.on_feed_news(FeedNews::Changes(changes)),
            PeerReply::Confirmed(confirmation) => {
                self.on_feed_news(FeedNews::Confirmed(confirmation));
            }
            PeerReply::Unavailable => self.on_feed_news(FeedNews::Unavailable),
            PeerReply::Quota(quota) => {
                if let Some(request) = self.pending.quotas.borrow_mut().remove(&quota.number) {
                    // The requester stopped waiting, and counts the credit as used.
                    let _ = request.send(quota);
                }
            }
            PeerReply::Place(place) => {
                if let Some(request) = self.pending.places.borrow().get(&place.number) {
                    // The requester stopped waiting, and its end was already sent.
                    let _ = request.send(place.answer);
                }
            }
            PeerReply::Gossip(gossip) => {
                // The receiver lives as long as the process.
                let _ = self.gossip.send((self.peer.clone(), gossip));
            }
        }
    }

    fn on_answer(&self, number: u64, answer: Answer) {
        if let Some(request) = self.pending.copies.borrow_mut().remove(&number) {
            // The requester stopped waiting, and the end of its copy request was already sent.
            let _ = request.answer.send(answer);
        }
    }

    fn on_feed_news(&self, news: FeedNews) {
        // The receiver lives as long as the process.
        let _ = self.feed.send((self.peer.clone(), news));
    }
}
