//! The clients of plain services and of the instance list against their stand-ins.

use monsoonspread_borders::instance_list::HttpInstanceList;
use monsoonspread_borders::service::HttpService;
use monsoonspread_borders::{InstanceList as _, Service as _, ServiceError};
use monsoonspread_model::{InstanceKind, InstanceState, ListedInstance};
use monsoonspread_standin::{
    Fault, Instances, InstancesSettings, Running, Service, ServiceSettings,
};

const TIMEOUT_MS: u64 = 5_000;

async fn service() -> (Running<Service>, HttpService) {
    let service = Service::start(ServiceSettings::default())
        .await
        .expect("the service starts");
    let client = HttpService::new(service.address());
    (service, client)
}

#[tokio::test]
async fn a_call_runs_once_and_is_counted_by_key_and_marker() {
    let (service, client) = service().await;
    let body = br#"{"note":"marker:c-1"}"#;
    let reply = client
        .call("commit-offset", body, Some("key-1"), TIMEOUT_MS)
        .await
        .expect("it runs");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.content_type, "application/json");
    assert_eq!(service.runs_of_key("key-1"), 1);
    assert_eq!(service.runs_of_marker("c-1"), 1);
}

#[tokio::test]
async fn a_lost_answer_is_not_sent_again() {
    let (service, client) = service().await;
    service.apply(Fault::LoseAnswers { count: 1 });
    let lost = client
        .call("commit-offset", b"{}", Some("k"), TIMEOUT_MS)
        .await;
    assert!(matches!(lost, Err(ServiceError::AnswerLost(_))), "{lost:?}");
    assert_eq!(service.runs_of_key("k"), 1);
}

#[tokio::test]
async fn a_refusal_says_not_run() {
    let (service, client) = service().await;
    service.apply(Fault::Drain { on: true });
    let refused = client
        .call("commit-offset", b"{}", Some("k"), TIMEOUT_MS)
        .await;
    assert!(
        matches!(refused, Err(ServiceError::NotRun(_))),
        "{refused:?}"
    );
    assert_eq!(service.runs_of_key("k"), 0);
}

#[tokio::test]
async fn a_stopped_server_is_unreachable() {
    let (service, client) = service().await;
    service.stop().await;
    let error = client
        .call("read", b"{}", None, TIMEOUT_MS)
        .await
        .unwrap_err();
    assert!(matches!(error, ServiceError::Unreachable(_)), "{error:?}");
}

#[tokio::test]
async fn a_paused_server_leaves_the_outcome_open() {
    let (service, client) = service().await;
    service.apply(Fault::Pause);
    let error = client.call("read", b"{}", None, 20).await.unwrap_err();
    assert!(matches!(error, ServiceError::AnswerLost(_)), "{error:?}");
}

fn row(name: &str) -> ListedInstance {
    ListedInstance {
        name: name.to_owned(),
        kind: InstanceKind::Entry,
        zone: "vestland-1".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        state: InstanceState::Live,
        service: None,
        checks_fencing: false,
        adapter_slots: 0,
        batch_places: 0,
    }
}

#[tokio::test]
async fn the_list_shows_changes_after_its_lag() {
    let settings = InstancesSettings {
        lag_ms: 0,
        rows: vec![row("entry-1")],
    };
    let list = Instances::start(settings).await.expect("the list starts");
    let client = HttpInstanceList::new(vec![list.address()]);
    list.put(row("entry-2"));
    list.set_leaving("entry-1");
    let rows = client.list().await.expect("the list answers").instances;
    assert_eq!(rows.len(), 2);
    assert_eq!(rows[0].state, InstanceState::Leaving);

    let settings = InstancesSettings {
        lag_ms: 3_600_000,
        rows: vec![row("entry-1")],
    };
    let lagging = Instances::start(settings).await.expect("the list starts");
    lagging.remove("entry-1");
    let client = HttpInstanceList::new(vec![lagging.address()]);
    assert_eq!(client.list().await.unwrap().instances.len(), 1);
}
