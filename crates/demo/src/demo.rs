//! The demo from its start to its verdict.

use monsoonspread_model::bundle::SAMPLE_BENCH;
use monsoonspread_model::{Bundle, BundleVersion};

use crate::cli::Cli;
use crate::region::{Region, RegionError, RegionShape};
use crate::tour::Tour;

/// Runs the demo; true when each answer was right.
///
/// # Errors
///
/// Fails when the region does not come up or a connection breaks.
pub async fn run(cli: &Cli) -> Result<bool, RegionError> {
    let region = Region::start(RegionShape::default()).await?;
    println!(
        "started {} entry instances in {} zones, {} engines, {} service servers",
        region.entries.len(),
        region.shape.zones,
        region.engines.len(),
        region.services.len()
    );
    let bundle = Bundle::sample(BundleVersion(1), cli.adapters);
    region.roll_out(&bundle).await?;
    println!(
        "bundle 1 with {} adapters is in force everywhere",
        cli.adapters
    );
    region.wait_for_owners().await?;
    let report = Tour::new(&region).run().await?;
    print!("\n{report}\n");
    print_totals(&region).await;
    let is_right = report.is_right();
    println!(
        "{}",
        if is_right {
            "each answer was right"
        } else {
            "an answer was wrong"
        }
    );
    if cli.once {
        stop(region).await;
        return Ok(is_right);
    }
    print_curl(&region);
    tokio::signal::ctrl_c().await?;
    stop(region).await;
    Ok(is_right)
}

async fn print_totals(region: &Region) {
    let mut runs = 0;
    let mut pin_violations = 0;
    for engine in region.engines.values() {
        let did = engine.did().await;
        runs += did.runs;
        pin_violations += did.pin_violations;
    }
    let loads = region.weights.served().served;
    println!(
        "engines ran {runs} requests with {loads} adapter loads; \
         copies unloaded while in use: {pin_violations}"
    );
}

fn print_curl(region: &Region) {
    let Some(address) = region.callers_addresses().first().copied() else {
        return;
    };
    println!(
        "\nserving on; try:\n\n  curl -N http://{address}/v1/chat/completions \\\n    \
         -H 'authorization: Bearer {key}' \\\n    \
         -d '{{\"model\":\"needle-0008\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'\n",
        key = SAMPLE_BENCH.key
    );
    for (name, entry) in &region.entries {
        println!(
            "  state of {name}: http://{}/dump",
            entry.operators_address()
        );
    }
    println!("\nstop with Ctrl-C");
}

async fn stop(region: Region) {
    for (_, entry) in region.entries {
        entry.drain().await;
    }
}
