//! Serves callers.

mod answer;
mod own;
mod read;

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use seam_core::Origin;
use seam_http::{Body, Listener, Stop, serve};

use crate::drive;
use crate::hub::Hub;
use crate::problem::problem;

pub use own::{EntriesAnswer, Entry, KeyAnswer};

/// Serves callers until stopped.
pub async fn serve_callers(hub: Arc<Hub>, listener: Listener, stop: Stop) {
    serve(listener, stop, move |request, from| {
        let hub = hub.clone();
        async move { handle(&hub, request, from).await }
    })
    .await;
}

async fn handle(hub: &Arc<Hub>, request: Request<Incoming>, from: SocketAddr) -> Response<Body> {
    let id = read::identifier(hub);
    if let Some(answer) = own::answer(hub, &request, &id) {
        return answer;
    }
    let line = format!("{} {}", request.method(), request.uri().path());
    let answer = match read::read(hub, request, &id).await {
        Ok(inbound) => {
            let reader = drive::start(hub, inbound, Origin::Caller);
            answer::answer(reader, &id).await
        }
        Err(fault) => problem(&id, fault.refusal, &fault.detail),
    };
    log::debug!("request {id} from {from}: {line}: {}", answer.status());
    answer
}
