use std::collections::HashMap;

use monsoonspread_model::fleet::SharedPrompt;
use monsoonspread_model::{AdapterName, UnixMs, UpstreamName};

use super::{CandidateUpstream, DemandSketch, Placement, PlacementSettings};

const ADAPTERS: usize = 3_000;

fn upstreams(count: usize) -> Vec<CandidateUpstream> {
    (0..count)
        .map(|number| CandidateUpstream {
            name: format!("engine-{number}").into(),
            zone: format!("zone-{}", number % 3).into(),
            weight: 8.0,
        })
        .collect()
}

fn placement(zone: &str, upstreams: Vec<CandidateUpstream>) -> Placement {
    let mut placement = Placement::new(zone.into(), PlacementSettings::default());
    placement.on_upstreams(upstreams);
    placement
}

fn adapter(number: usize) -> AdapterName {
    format!("needle-{number}").into()
}

fn first(placement: &Placement, number: usize) -> UpstreamName {
    placement.candidates(UnixMs(0), &adapter(number))[0].clone()
}

#[test]
fn cold_adapters_spread_evenly_and_all_zones_agree() {
    let here = placement("zone-0", upstreams(18));
    let there = placement("zone-2", upstreams(18));
    let mut counts: HashMap<UpstreamName, usize> = HashMap::new();
    for number in 0..ADAPTERS {
        assert_eq!(first(&here, number), first(&there, number));
        *counts.entry(first(&here, number)).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert_eq!(counts.len(), 18);
    assert!(
        most.unwrap() < &(2 * least.unwrap()),
        "{least:?} to {most:?}"
    );
}

#[test]
fn losing_an_upstream_moves_only_its_adapters() {
    let before = placement("zone-0", upstreams(18));
    let after = placement("zone-0", upstreams(17));
    let lost = UpstreamName::from("engine-17");
    for number in 0..ADAPTERS {
        let old = first(&before, number);
        assert!(old == lost || old == first(&after, number));
    }
}

#[test]
fn a_hot_adapter_gets_a_copy_in_each_zone_and_the_local_zone_comes_first() {
    let mut placement = placement("zone-1", upstreams(18));
    placement.on_sharing_instances(7);
    let hot = adapter(7);
    for ms in 0..400 {
        placement.on_arrival(UnixMs(ms * 10), &hot);
    }
    let now = UnixMs(4_000);
    assert_eq!(placement.copies(now, &hot), 6);
    let candidates = placement.candidates(now, &hot);
    let zone_of =
        |name: &UpstreamName| name.as_str()["engine-".len()..].parse::<usize>().unwrap() % 3;
    assert_eq!(zone_of(&candidates[0]), 1);
    for zone in 0..3 {
        assert_eq!(
            candidates[..6]
                .iter()
                .filter(|name| zone_of(name) == zone)
                .count(),
            2
        );
    }
    let later = UnixMs(60_000);
    assert_eq!(placement.copies(later, &hot), 1);
}

#[test]
fn demand_is_followed_within_seconds_in_bounded_memory() {
    let mut demand = DemandSketch::new(512, 3_000);
    for ms in 0..10_000_u64 {
        demand.on_arrival(UnixMs(ms), &(ms + 1_000));
        if ms % 100 == 0 {
            demand.on_arrival(UnixMs(ms), &1);
        }
    }
    assert!(demand.len() <= 512);
    let rate = demand.per_second(UnixMs(10_000), &1);
    assert!((7.0..12.0).contains(&rate), "{rate} per second");
    assert!(demand.per_second(UnixMs(30_000), &1) < 0.2);
}

/// For long prompts of a busy adapter, instances with different local demand send the same prompt to
/// the same engine and distribute different prompts over several.
#[test]
fn instances_agree_on_the_preferred_engine_of_a_prompt() {
    let mut prompts_per_engine = HashMap::new();
    for id in 0..40 {
        let shared = SharedPrompt { id, tokens: 6_300 };
        let preferred = |arrivals: usize, zone: &str| {
            let mut placement = placement(zone, upstreams(18));
            placement.on_sharing_instances(20);
            for _ in 0..arrivals {
                placement.on_arrival(UnixMs(0), &adapter(7));
            }
            let engine = placement.preferred_engine(UnixMs(0), &adapter(7), shared, |_| true);
            engine.expect("an engine")
        };
        assert_eq!(preferred(5, "zone-0"), preferred(30, "zone-2"));
        *prompts_per_engine
            .entry(preferred(9, "zone-1"))
            .or_insert(0) += 1;
    }
    assert_eq!(prompts_per_engine.len(), 3);
}

/// Requests for one adapter arrive at many instances, each of which receives only a few.
#[test]
fn demand_that_one_holder_counts_is_the_same_for_all_instances() {
    const PER_SECOND: usize = 20;
    for instances in [7, 195, 1_700] {
        let mut counter = DemandSketch::new(8, 3_000);
        let mut fleet: Vec<Placement> = (0..instances)
            .map(|_| {
                let mut placement = placement("zone-0", upstreams(18));
                placement.on_sharing_instances(instances);
                placement
            })
            .collect();
        let mut now = UnixMs(0);
        for request in 0..30 * PER_SECOND {
            now = now + 1_000 / PER_SECOND as u64;
            counter.on_arrival(now, &adapter(7));
            // Distributes the requests unevenly over the instances.
            let at = &mut fleet[request * 7_919 % instances];
            at.on_arrival(now, &adapter(7));
            let counted = counter.per_second_before(now, &adapter(7));
            at.on_counted_demand(now, &adapter(7), counted);
            if request > 20 * PER_SECOND {
                let copies = at.copies(now, &adapter(7));
                assert!((4..=6).contains(&copies), "{instances}: {copies} copies");
            }
        }
    }
}

#[test]
fn an_expired_count_is_not_used() {
    let mut placement = placement("zone-0", upstreams(18));
    placement.on_counted_demand(UnixMs(0), &adapter(7), 20.0);
    assert_eq!(placement.copies(UnixMs(100), &adapter(7)), 5);
    assert_eq!(placement.copies(UnixMs(5_000), &adapter(7)), 1);
}

/// Only a few of many candidates are compared, different ones each time, and always the one whose
/// holder counts the demand.
#[test]
fn comparisons_are_spread_over_the_candidates() {
    let mut placement = placement("zone-0", upstreams(18));
    placement.on_counted_demand(UnixMs(0), &adapter(7), 20.0);
    let mut compared = HashMap::new();
    for draw in 0..60 {
        let names = placement.compared(UnixMs(0), &adapter(7), draw, |_| true);
        assert_eq!(names.len(), 3);
        for name in names {
            *compared.entry(name).or_insert(0) += 1;
        }
    }
    // Five copies and one spare candidate; the first engine is compared each time.
    assert_eq!(compared.values().max(), Some(&60));
    assert!(compared.len() >= 6);
    assert!(compared.values().all(|count| *count >= 20));
}
