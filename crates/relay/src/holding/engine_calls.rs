//! Orders to engines, and reads of their reports.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::{Order, OrderAnswer};

use crate::event::{Line, kind};
use crate::gossip::AnswerSource;
use crate::shared::Shared;

/// Sends an order and delivers its answer.
pub(super) async fn send_order(shared: Rc<Shared>, name: UpstreamName, order: Order) {
    let holding = &shared.holding;
    let Some((address, fence)) = holding.target(&name) else {
        return;
    };
    if !holding.confirmation.borrow().holds(shared.now()) {
        let now = shared.now();
        holding.update(&shared, &name, |engine| {
            engine.control.on_order_answer(now, OrderAnswer::NotSent)
        });
        return;
    }
    let wait_ms = holding.answer_wait_ms(&name, shared.now());
    let engines = &shared.borders.engines;
    let incarnation = shared.incarnation(&name);
    let reply = engines.order(&name, address, fence, &order, wait_ms).await;
    shared.on_announcement(AnswerSource::Order, &name, incarnation, &reply.announcement);
    let answer = reply.answer;
    shared.metrics.count("orders", order_outcome(answer));
    let now = shared.now();
    let mut changed = false;
    holding.update(&shared, &name, |engine| {
        if engine.fence != fence {
            return Vec::new();
        }
        let before = engine.control.progress(&order.key);
        let actions = engine.control.on_order_answer(now, answer);
        changed = engine.control.progress(&order.key) != before;
        actions
    });
    // Repeated checks of a copy that is still loading change nothing.
    if changed || !matches!(answer, OrderAnswer::Accepted | OrderAnswer::Holds) {
        Line::new(&kind::ORDER_ANSWERED)
            .field("upstream", &name)
            .field("order", format!("{:?}", order.kind))
            .field("adapter", &order.key)
            .field("accepted_before", order.accepted_before)
            .field("answer", format!("{answer:?}"))
            .log();
    }
}

fn order_outcome(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Accepted => "accepted",
        OrderAnswer::Holds => "holds",
        OrderAnswer::Conflict => "conflict",
        OrderAnswer::Unknown => "unknown",
        OrderAnswer::Rejected => "rejected",
        OrderAnswer::NotSent => "not_sent",
        OrderAnswer::Unanswered => "unanswered",
    }
}

/// Reads an engine's report of what it holds and delivers it.
pub(super) async fn read_report(shared: Rc<Shared>, name: UpstreamName) {
    let holding = &shared.holding;
    let Some((address, _)) = holding.target(&name) else {
        return;
    };
    while let Some(until) = shared.backoff_until(&name) {
        let wait_ms = until.ms_since(shared.now());
        tokio::time::sleep(Duration::from_millis(wait_ms)).await;
    }
    let incarnation = shared.incarnation(&name);
    let reply = shared.borders.engines.report(&name, address).await;
    shared.on_announcement(
        AnswerSource::Report,
        &name,
        incarnation,
        &reply.announcement,
    );
    let report = reply.answer;
    match &report {
        Ok(holdings) => Line::new(&kind::REPORT_READ)
            .field("upstream", &name)
            .field("adapters", holdings.adapters.len())
            .field("accepted", holdings.accepted_orders)
            .log(),
        Err(error) => Line::new(&kind::REPORT_FAILED)
            .field("upstream", &name)
            .field("error", error)
            .log(),
    }
    let now = shared.now();
    holding.update(&shared, &name, |engine| {
        engine.control.on_report(now, report.ok())
    });
}
