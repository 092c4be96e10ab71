//! The weight store's limits.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{WeightSource, Weights, WeightsSettings};
use crate::fault::Fault;
use crate::pace::Pace;

#[tokio::test]
async fn loads_take_longer_in_proportion_beyond_the_transit_limit() {
    let weights = Weights::start(WeightsSettings::default())
        .await
        .expect("it starts");
    let mut turns = Vec::new();
    for loads in 1..=48 {
        turns.push(weights.take_turn());
        let expected_ms = if loads <= 24 {
            250.0
        } else {
            250.0 * f64::from(loads) / 24.0
        };
        let time = weights.transfer_time().as_secs_f64() * 1_000.0;
        assert!(
            (time - expected_ms).abs() < 0.1,
            "{loads} loads take {time} ms"
        );
    }
    drop(turns);
    assert_eq!(weights.served().in_transit, 0);
    assert_eq!(weights.served().most_in_transit, 48);
}

#[test]
fn a_pace_lets_its_burst_through_and_then_its_rate() {
    let start = Instant::now();
    let mut pace = Pace::new(10.0, 3, start);
    let waits = (0..6).map(|_| pace.take(start).duration_since(start).as_millis());
    assert_eq!(waits.collect::<Vec<_>>(), [0, 0, 0, 100, 200, 300]);
    let later = start + Duration::from_secs(60);
    assert_eq!(pace.take(later), later);
}

#[tokio::test]
async fn a_cancelled_load_leaves_the_transit() {
    let weights = Weights::start(WeightsSettings::default())
        .await
        .expect("it starts");
    let target = Arc::clone(weights.target());
    let mut fetch = Box::pin(target.fetch("needle-7@2"));
    assert!(futures_util::poll!(&mut fetch).is_pending());
    assert_eq!(weights.served().in_transit, 1);
    drop(fetch);
    assert_eq!(weights.served().in_transit, 0);
}

#[tokio::test]
async fn a_failed_load_is_not_served() {
    let settings = WeightsSettings {
        load_ms: 0,
        ..WeightsSettings::default()
    };
    let weights = Weights::start(settings).await.expect("it starts");
    weights.apply(Fault::FailLoads { count: 1 });
    assert!(weights.fetch("needle-7@2").await.is_err());
    assert_eq!(weights.fetch("needle-7@2").await, Ok(()));
    assert_eq!(weights.served().served, 1);
}
