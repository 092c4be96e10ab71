//! The engine's batch, slots and cache, without sockets.

use std::time::Duration;

use serde_json::json;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::EngineSettings;
use super::command::{Order, OrderOutcome};
use super::core::{Core, Step};
use super::prefix_cache::{PrefixCache, PromptCost};
use super::prompt::Prompt;
use super::sequence::{Admission, NewRequest, Piece};
use crate::fault::{Fault, FaultState};

struct Caller {
    pieces: mpsc::UnboundedReceiver<Piece>,
    admission: Admission,
}

fn settings() -> EngineSettings {
    EngineSettings {
        adapter_slots: 2,
        batch_places: 2,
        step_base_ms: 10.0,
        step_per_request_ms: 1.0,
        step_per_adapter_ms: 2.0,
        prefill_per_token_ms: 0.0,
        ..EngineSettings::default()
    }
}

fn request(core: &mut Core, model: &str, priority: i64, max_tokens: u32) -> Caller {
    let faults = FaultState::new(Duration::ZERO);
    request_under(core, &faults, model, priority, max_tokens)
}

fn request_under(
    core: &mut Core,
    faults: &FaultState,
    model: &str,
    priority: i64,
    max_tokens: u32,
) -> Caller {
    let (sender, pieces) = mpsc::unbounded_channel();
    let request = NewRequest {
        model: model.to_owned(),
        request_id: model.to_owned(),
        prompt: Prompt {
            text: format!("marker:{priority}"),
            max_tokens,
            continued_tokens: 0,
        },
        priority,
        pieces: sender,
    };
    let admission = core.generate(request, faults, Instant::now());
    Caller { pieces, admission }
}

fn load(core: &mut Core, copy: &str, fencing_number: u64) -> Option<OrderOutcome> {
    let (outcome, mut answer) = oneshot::channel();
    let begun = core.load(Order {
        copy: copy.to_owned(),
        fencing_number: Some(fencing_number),
        outcome,
    });
    if begun {
        core.fetched(copy, Ok(()), Instant::now());
    }
    answer.try_recv().ok()
}

#[test]
fn the_waiting_queue_goes_by_priority_then_by_arrival() {
    let mut core = Core::new(settings());
    load(&mut core, "a@1.e1", 1);
    let _callers = [7, 3, 3, 5].map(|priority| request(&mut core, "a@1.e1", priority, 1));
    while core.begin_step().is_some() {
        core.finish_step();
    }
    let runs = &core.counters.by_marker;
    assert_eq!(core.counters.steps, 2);
    assert_eq!(core.counters.mean_batch(), 2.0);
    assert_eq!(runs["3"], ["a@1", "a@1"]);
    assert_eq!((runs["5"].len(), runs["7"].len()), (1, 1));
}

#[test]
fn a_step_takes_longer_with_requests_and_adapters() {
    let mut core = Core::new(settings());
    load(&mut core, "a@1.e1", 1);
    load(&mut core, "b@1.e1", 1);
    let _one = request(&mut core, "a@1.e1", 0, 9);
    assert_eq!(
        core.begin_step(),
        Some(Step::Takes(Duration::from_millis(13)))
    );
    core.finish_step();
    let _two = request(&mut core, "b@1.e1", 0, 9);
    assert_eq!(
        core.begin_step(),
        Some(Step::Takes(Duration::from_millis(16)))
    );
}

#[test]
fn a_full_engine_fails_loads_and_keeps_what_it_holds() {
    let mut core = Core::new(settings());
    assert_eq!(load(&mut core, "a@1.e1", 1), Some(OrderOutcome::Done));
    assert_eq!(load(&mut core, "b@1.e1", 1), Some(OrderOutcome::Done));
    let full = OrderOutcome::Failed("no adapter slot is free".to_owned());
    assert_eq!(load(&mut core, "c@1.e1", 1), Some(full));
    assert_eq!(core.models(), ["a@1.e1", "b@1.e1"]);
}

#[test]
fn an_engine_that_loads_by_itself_waits_for_a_slot_in_use() {
    let mut core = Core::new(EngineSettings {
        adapter_slots: 1,
        auto_load: true,
        ..settings()
    });
    let mut first = request(&mut core, "a@1", 0, 1);
    assert_eq!(core.begin_wanted_loads(), ["a@1"]);
    core.fetched("a@1", Ok(()), Instant::now());
    let mut second = request(&mut core, "b@1", 0, 1);
    assert_eq!(core.begin_wanted_loads(), Vec::<String>::new());
    core.begin_step();
    core.finish_step();
    assert_eq!(first.pieces.try_recv(), Ok(Piece::Text("a@1:".to_owned())));
    assert_eq!(core.begin_wanted_loads(), ["b@1"]);
    core.fetched("b@1", Ok(()), Instant::now());
    core.begin_step();
    core.finish_step();
    assert_eq!(second.pieces.try_recv(), Ok(Piece::Text("b@1:".to_owned())));
    assert_eq!(
        (core.counters.evictions, core.counters.pin_violations),
        (1, 0)
    );
}

#[test]
fn a_failed_load_by_itself_cuts_those_who_wait_for_it() {
    let mut core = Core::new(EngineSettings {
        auto_load: true,
        ..settings()
    });
    let mut caller = request(&mut core, "a@1", 0, 1);
    core.begin_wanted_loads();
    core.fetched("a@1", Err("gone".to_owned()), Instant::now());
    let cut = Piece::Cut("the adapter could not be loaded");
    assert_eq!(caller.pieces.try_recv(), Ok(cut));
    assert_eq!(core.begin_step(), None);
}

#[test]
fn a_cancelled_request_leaves_its_slot_idle() {
    let mut core = Core::new(settings());
    load(&mut core, "a@1.e1", 1);
    let caller = request(&mut core, "a@1.e1", 0, 100);
    core.begin_step();
    core.finish_step();
    assert_eq!(core.report(false).adapters[0].in_use, 1);
    drop(caller);
    assert_eq!(core.begin_step(), None);
    assert_eq!(core.report(false).adapters[0].in_use, 0);
}

#[test]
fn a_draining_or_full_engine_refuses_before_running() {
    let mut core = Core::new(EngineSettings {
        max_waiting: 1,
        ..settings()
    });
    load(&mut core, "a@1.e1", 1);
    let taken = request(&mut core, "a@1.e1", 0, 1);
    assert_eq!(taken.admission, Admission::Taken);
    let full = request(&mut core, "a@1.e1", 0, 1);
    assert_eq!(full.admission, Admission::Refused("too many requests wait"));
    let faults = FaultState::new(Duration::ZERO);
    faults.apply(Fault::Drain { on: true });
    let draining = request_under(&mut core, &faults, "a@1.e1", 0, 1);
    assert_eq!(
        draining.admission,
        Admission::Refused("the engine is stopping")
    );
    assert_eq!(core.counters.refused, 2);
}

#[test]
fn a_shared_prefix_is_read_once_for_each_adapter() {
    let mut cache = PrefixCache::new(1_000);
    let prefix = "p".repeat(128);
    let cost = |fresh_tokens, cached_tokens| PromptCost {
        fresh_tokens,
        cached_tokens,
    };
    assert_eq!(cache.read("a@1", &prefix), cost(32, 0));
    assert_eq!(cache.read("a@1", &format!("{prefix}tail")), cost(1, 32));
    assert_eq!(cache.read("b@1", &prefix), cost(32, 0));
}

#[test]
fn the_prefix_cache_drops_what_was_used_longest_ago() {
    let mut cache = PrefixCache::new(4);
    let prompts = ["one", "two", "three", "four", "five"];
    for prompt in prompts {
        cache.read("a@1", prompt);
    }
    assert_eq!(cache.read("a@1", "five").fresh_tokens, 0);
    assert_eq!(cache.read("a@1", "one").cached_tokens, 0);
}

#[test]
fn a_partial_answer_at_the_prompts_end_is_continued() {
    let continued = |body| Prompt::of_body(&body, "a@1.e7").continued_tokens;
    let completion = |prompt: &str| continued(json!({ "prompt": prompt }));
    assert_eq!(completion("Read it. a@1: 1 2"), 3);
    assert_eq!(completion("Read it. a@1:"), 1);
    assert_eq!(completion("Read it. a@2: 1 2"), 0);
    assert_eq!(completion("Read a@1: please"), 0);
    let chat = |goes_on: bool| {
        continued(json!({
            "messages": [{ "content": "Read it." }, { "content": "a@1: 1" }],
            "continue_final_message": goes_on,
        }))
    };
    assert_eq!((chat(true), chat(false)), (2, 0));
}
