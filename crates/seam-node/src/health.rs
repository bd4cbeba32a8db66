//! Health checks of targets that may have started again.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use seam_core::Event;
use seam_http::empty;
use seam_protocol::{ServiceId, TargetId};

use crate::dialect::TargetHealth;
use crate::runtime::NodeRuntime;
use crate::targets::keep_connection;

/// Timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer that is read, so that its connection can be used again.
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
    let timeout = async {
        Timer::after(CHECK_TIMEOUT).await;
        Err(format!("no answer within {} ms", CHECK_TIMEOUT.as_millis()))
    };
    let asked = runtime.now();
    match ask(runtime, service, address, &path).or(timeout).await {
        Ok(Some(health)) if health.name == name => {
            log::info!("health of {name}: cold for {} ms", health.cold.as_millis());
            let cold = health.cold;
            runtime.handle(Event::ColdReported {
                target,
                cold,
                asked,
            });
        }
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

/// Sends a health check and reads the answer.
async fn ask(
    runtime: &NodeRuntime,
    service: ServiceId,
    address: SocketAddr,
    path: &str,
) -> Result<Option<TargetHealth>, String> {
    let connection = runtime.pool.connection(address, true).await;
    let mut connection = connection.map_err(|error| error.to_string())?;
    let request = Request::get(path).header(header::HOST, address.to_string());
    let request = request.body(empty()).map_err(|error| error.to_string())?;
    let response = connection.send(request).await;
    let (head, body) = response.map_err(|error| error.to_string())?.into_parts();
    let health = runtime.dialect.target_health(&head.headers)?;
    if Limited::new(body, MAX_ANSWER_BYTES).collect().await.is_ok() {
        keep_connection(runtime, service, address, connection).await;
    }
    Ok(health)
}
