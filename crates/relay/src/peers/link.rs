//! Connections to other instances.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use monsoonspread_decisions::copies::{CopyRefusal, EngineQuote};
use monsoonspread_model::InstanceName;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{Instant, interval, sleep_until, timeout, timeout_at};

use super::frame::{ALIVE_EVERY_MS, Frames, SILENT_MS, decode, frames, send_all};
use super::message::{PeerAsk, PeerNews, PeerReply, PeerRequest};
use crate::beliefs::ToldBeliefs;
use crate::event::{Line, kind};

/// Time to connect to another instance, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time in which a holder says that it heard an ask, in milliseconds: a few times the way to
/// another zone and back, and what a busy instance takes for all that waits before it.
const HEARD_TIMEOUT_MS: u64 = 250;

/// Why an ask was not granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskFailure {
    /// The holder refused it.
    Refused(CopyRefusal),
    /// The holder can't be reached or doesn't answer.
    Silent,
}

impl AskFailure {
    /// Whether it says nothing of the engine, as the holder decides on nothing now.
    pub fn is_of_holder(self) -> bool {
        matches!(
            self,
            Self::Silent | Self::Refused(CopyRefusal::NotHolder | CopyRefusal::Unread)
        )
    }
}

type Answer = Result<u32, AskFailure>;

struct Waiting {
    heard: Rc<Cell<bool>>,
    answer: oneshot::Sender<Answer>,
}

#[derive(Clone)]
struct Link {
    address: SocketAddr,
    queue: UnboundedSender<PeerRequest>,
    waiting: Rc<RefCell<HashMap<u64, Waiting>>>,
    quotes: Quotes,
}

/// Questions that wait for a quote.
type Quotes = Rc<RefCell<HashMap<u64, oneshot::Sender<Option<EngineQuote>>>>>;

/// Connections to other instances, opened when they are first needed.
#[derive(Clone)]
pub struct PeerLinks {
    own: InstanceName,
    links: Rc<RefCell<HashMap<InstanceName, Link>>>,
    news: UnboundedSender<SourcedNews>,
    beliefs: UnboundedSender<ToldBeliefs>,
}

/// Who told the news; `None` when it has none to tell.
pub type SourcedNews = (InstanceName, Option<PeerNews>);

impl PeerLinks {
    /// No connections yet; `news` gets what other instances tell of the store, and `beliefs` what
    /// they tell of upstreams and requests.
    pub fn new(
        own: InstanceName,
        news: UnboundedSender<SourcedNews>,
        beliefs: UnboundedSender<ToldBeliefs>,
    ) -> Self {
        Self {
            own,
            links: Rc::default(),
            news,
            beliefs,
        }
    }

    /// Asks `peer` for the news of the store, for a while.
    pub fn follow(&self, peer: &InstanceName, address: SocketAddr) {
        self.send(peer, address, PeerRequest::Follow);
    }

    /// Tells `peer` something that needs no answer, over a new connection if there is none.
    pub fn send(&self, peer: &InstanceName, address: SocketAddr, request: PeerRequest) {
        // A connection that is being closed is opened anew at the next time.
        let _ = self.link(peer, address).queue.send(request);
    }

    /// Asks `peer` for a copy and waits for its answer.
    pub async fn ask(&self, peer: &InstanceName, address: SocketAddr, ask: PeerAsk) -> Answer {
        let link = self.link(peer, address);
        let heard = Rc::new(Cell::new(false));
        let (answer, answered) = oneshot::channel();
        let waiting = Waiting {
            heard: Rc::clone(&heard),
            answer,
        };
        let (number, wait_ms) = (ask.number, ask.wait_ms);
        link.waiting.borrow_mut().insert(number, waiting);
        if link.queue.send(PeerRequest::Ask(ask)).is_err() {
            return Err(AskFailure::Silent);
        }
        let answer = wait_for(answered, &heard, wait_ms).await;
        link.waiting.borrow_mut().remove(&number);
        answer
    }

    /// Asks `peer` how busy an engine is; `None` without an answer until `until`.
    pub async fn quote(
        &self,
        peer: &InstanceName,
        address: SocketAddr,
        number: u64,
        question: PeerRequest,
        until: Instant,
    ) -> Option<EngineQuote> {
        let link = self.link(peer, address);
        let (answer, answered) = oneshot::channel();
        link.quotes.borrow_mut().insert(number, answer);
        let sent = link.queue.send(question);
        let quote = match sent {
            Ok(()) => timeout_at(until, answered).await.ok(),
            // The connection is being closed: no quote.
            Err(_) => None,
        };
        link.quotes.borrow_mut().remove(&number);
        quote?.ok()?
    }

    /// Tells `peer` something that needs no answer, if it is connected.
    pub fn tell(&self, peer: &InstanceName, request: PeerRequest) {
        if let Some(link) = self.links.borrow().get(peer) {
            // A connection that is being closed ends the holder's books for it as well.
            let _ = link.queue.send(request);
        }
    }

    fn link(&self, peer: &InstanceName, address: SocketAddr) -> Link {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(peer)
            && link.address == address
            && !link.queue.is_closed()
        {
            return link.clone();
        }
        let (queue, requests) = unbounded_channel();
        let link = Link {
            address,
            queue,
            waiting: Rc::default(),
            quotes: Rc::default(),
        };
        links.insert(peer.clone(), link.clone());
        let replies = Replies {
            peer: peer.clone(),
            waiting: Rc::clone(&link.waiting),
            quotes: Rc::clone(&link.quotes),
            news: self.news.clone(),
            beliefs: self.beliefs.clone(),
        };
        let run = run(self.own.clone(), address, requests, replies);
        tokio::task::spawn_local(run);
        link
    }
}

async fn wait_for(answered: oneshot::Receiver<Answer>, heard: &Cell<bool>, wait_ms: u64) -> Answer {
    tokio::pin!(answered);
    let first = Duration::from_millis(HEARD_TIMEOUT_MS);
    if let Ok(answer) = timeout(first, &mut answered).await {
        return answer.unwrap_or(Err(AskFailure::Silent));
    }
    if !heard.get() {
        return Err(AskFailure::Silent);
    }
    // The holder's own answer comes at the end of the wait; allow for its way.
    let rest = Duration::from_millis(wait_ms + HEARD_TIMEOUT_MS) - first;
    match timeout(rest, &mut answered).await {
        Ok(answer) => answer.unwrap_or(Err(AskFailure::Silent)),
        Err(_) => Err(AskFailure::Refused(CopyRefusal::TooLate)),
    }
}

async fn run(
    own: InstanceName,
    address: SocketAddr,
    mut requests: UnboundedReceiver<PeerRequest>,
    replies: Replies,
) {
    let peer = replies.peer.clone();
    let connect = TcpStream::connect(address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    if let Ok(Ok(stream)) = connected {
        Line::new(&kind::PEER_CONNECTED).field("peer", &peer).log();
        // Without it an ask waits for the next packet; the connection works all the same.
        let _ = stream.set_nodelay(true);
        carry(frames(stream), own, &mut requests, &replies).await;
    }
    requests.close();
    Line::new(&kind::PEER_LOST)
        .field("peer", &peer)
        .field("address", address)
        .log();
    replies.waiting.borrow_mut().clear();
    replies.quotes.borrow_mut().clear();
}

async fn carry(
    mut frames: Frames,
    own: InstanceName,
    requests: &mut UnboundedReceiver<PeerRequest>,
    replies: &Replies,
) {
    let mut alive = interval(Duration::from_millis(ALIVE_EVERY_MS));
    let mut silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
    if send_all(&mut frames, &PeerRequest::Hello(own), requests)
        .await
        .is_none()
    {
        return;
    }
    loop {
        tokio::select! {
            frame = frames.next() => {
                let Some(Ok(bytes)) = frame else { return };
                silent_at = Instant::now() + Duration::from_millis(SILENT_MS);
                let Some(reply) = decode(&bytes) else { return };
                replies.on_reply(reply);
            }
            request = requests.recv() => {
                let Some(request) = request else { return };
                if send_all(&mut frames, &request, requests).await.is_none() { return }
            }
            _ = alive.tick() => {
                if send_all(&mut frames, &PeerRequest::Alive, requests).await.is_none() { return }
            }
            () = sleep_until(silent_at) => return,
        }
    }
}

/// What is done with the replies of one instance.
struct Replies {
    peer: InstanceName,
    waiting: Rc<RefCell<HashMap<u64, Waiting>>>,
    quotes: Quotes,
    news: UnboundedSender<SourcedNews>,
    beliefs: UnboundedSender<ToldBeliefs>,
}

impl Replies {
    fn on_reply(&self, reply: PeerReply) {
        match reply {
            PeerReply::Alive => {}
            PeerReply::Heard(number) => {
                if let Some(ask) = self.waiting.borrow().get(&number) {
                    ask.heard.set(true);
                }
            }
            PeerReply::Granted { number, running } => self.on_answer(number, Ok(running)),
            PeerReply::Refused { number, reason } => {
                self.on_answer(number, Err(AskFailure::Refused(reason)));
            }
            PeerReply::Quoted { number, quote } => {
                if let Some(question) = self.quotes.borrow_mut().remove(&number) {
                    // Whoever asked has decided without it.
                    let _ = question.send(quote);
                }
            }
            PeerReply::News(news) => self.on_news(Some(news)),
            PeerReply::NoNews => self.on_news(None),
            PeerReply::Beliefs(beliefs) => {
                // The receiver lives as long as the process.
                let _ = self.beliefs.send((self.peer.clone(), beliefs));
            }
        }
    }

    fn on_answer(&self, number: u64, answer: Answer) {
        if let Some(ask) = self.waiting.borrow_mut().remove(&number) {
            // Whoever asked has left; the end of its ask was told already.
            let _ = ask.answer.send(answer);
        }
    }

    fn on_news(&self, news: Option<PeerNews>) {
        // The receiver lives as long as the process.
        let _ = self.news.send((self.peer.clone(), news));
    }
}
