//! The demo's own verdict.

use monsoonspread_demo::cli::Cli;
use monsoonspread_demo::demo;

#[tokio::test(flavor = "multi_thread")]
async fn each_answer_of_the_demo_is_right() {
    let cli = Cli {
        once: true,
        adapters: 300,
    };
    assert!(demo::run(&cli).await.unwrap());
}
