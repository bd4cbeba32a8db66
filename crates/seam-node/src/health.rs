//! Health checks of targets that may have started again.

use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use seam_core::Event;
use seam_http::{empty, fetch};
use seam_protocol::{ServiceId, TargetId};

use crate::dialect::TargetHealth;
use crate::runtime::NodeRuntime;

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest body of an answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Asks a target for its health, and passes on how long it says that it is cold.
///
/// Its status is not used: it may be wrong either way.
pub async fn check(
    runtime: &NodeRuntime,
    target: TargetId,
    service: ServiceId,
    address: SocketAddr,
) {
    let Some((path, name)) = path_and_name(runtime, target, service) else {
        return;
    };
    let asked = runtime.now();
    match ask(runtime, address, &path).await {
        Ok(Some(health)) if health.name == name => match health.cold {
            Some(cold) => {
                log::info!("health of {name}: cold for {} ms", cold.as_millis());
                runtime.handle(Event::ColdReported {
                    target,
                    cold,
                    asked,
                });
            }
            None => log::info!("health of {name}: it cannot be read how long it is cold"),
        },
        Ok(Some(health)) => log::info!("{} answers at {address}, not {name}", health.name),
        Ok(None) => log::info!("health of {name}: its answer does not tell it"),
        Err(error) => log::info!("health of {name}: {error}"),
    }
}

/// Returns the path of a service's health checks and the name of a target.
fn path_and_name(
    runtime: &NodeRuntime,
    target: TargetId,
    service: ServiceId,
) -> Option<(String, String)> {
    let snapshot = runtime.snapshot()?;
    let service = snapshot.bundle.services.get(&service)?;
    let name = service.targets.get(&target)?.name.clone();
    Some((service.health.clone()?, name))
}

/// Sends a health check on a connection of its own, as nothing in an answer shows which check it belongs
/// to.
async fn ask(
    runtime: &NodeRuntime,
    address: SocketAddr,
    path: &str,
) -> Result<Option<TargetHealth>, String> {
    let request = Request::get(path).body(empty());
    let request = request.map_err(|error| error.to_string())?;
    let response = fetch(address, request, CHECK_TIMEOUT, MAX_ANSWER_BYTES).await;
    let response = response.map_err(|error| error.to_string())?;
    Ok(runtime.dialect.target_health(response.headers()))
}
