//! Carries one request from its arrival to its final answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Receiver;
use async_executor::Task;
use futures_lite::future;
use seam_core::event::Arrival;
use seam_core::{AttemptKey, Event, Origin, Reply};
use seam_http::spawn;

use crate::hub::{Directive, Hub, ToNode, ToTarget};
use crate::inbound::Inbound;
use crate::outlet::{Outlet, Piece, outlet};
use crate::{link, targets};

/// How far an attempt has come.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    sent: Arc<AtomicBool>,
}

impl Progress {
    /// Notes that the first byte may leave from now on.
    pub fn sent(&self) {
        self.sent.store(true, Ordering::SeqCst);
    }

    fn was_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst)
    }
}

struct Running {
    task: Task<()>,
    progress: Progress,
}

/// The task of one request.
struct Drive {
    hub: Arc<Hub>,
    inbound: Arc<Inbound>,
    outlet: Outlet,
    running: BTreeMap<AttemptKey, Running>,
}

/// Hands a request to the decisions and returns the reading end of its answer.
pub fn start(hub: &Arc<Hub>, inbound: Inbound, origin: Origin) -> Receiver<Piece> {
    let prefix = hub.snapshot().and_then(|snapshot| {
        let service = snapshot.bundle.services.get(&inbound.service)?;
        inbound.prefix(service)
    });
    let arrival = Arrival {
        ticket: hub.ticket(),
        origin,
        customer: inbound.customer,
        service: inbound.service,
        repeatable: inbound.repeatable,
        key: inbound.key.clone(),
        fingerprint: inbound.fingerprint,
        prefix,
        budget: inbound.budget,
        class: inbound.class,
        prompt: inbound.prompt.clone(),
    };
    let (sender, directives) = async_channel::unbounded();
    let (outlet, reader) = outlet();
    let drive = Drive {
        hub: hub.clone(),
        inbound: Arc::new(inbound),
        outlet,
        running: BTreeMap::new(),
    };
    hub.register(arrival.ticket, sender);
    let ticket = arrival.ticket;
    hub.handle(Event::Arrive(arrival));
    spawn(drive.run(ticket, directives)).detach();
    reader
}

impl Drive {
    async fn run(mut self, ticket: seam_core::Ticket, directives: Receiver<Directive>) {
        let mut gone = false;
        loop {
            let next = async { directives.recv().await.ok() };
            let directive = if gone {
                next.await
            } else {
                let left = async {
                    self.outlet.closed().await;
                    None
                };
                let first = future::or(async { Some(next.await) }, left).await;
                match first {
                    Some(directive) => directive,
                    None => {
                        gone = true;
                        self.hub.handle(Event::Gone(ticket));
                        continue;
                    }
                }
            };
            match directive {
                Some(Directive::Send(to)) => self.send(to),
                Some(Directive::Forward(to)) => self.forward(to),
                Some(Directive::Cancel(attempt)) => self.cancel(attempt).await,
                Some(Directive::Refuse(refusal)) => {
                    gone = true;
                    self.outlet.finish(Piece::Refusal(refusal));
                }
                Some(Directive::Replay(answer)) => {
                    gone = true;
                    self.outlet.finish(Piece::Replay(answer));
                }
                Some(Directive::Done) | None => break,
            }
        }
        // An answer whose last pieces are still being read ends by itself.
        for (_, running) in std::mem::take(&mut self.running) {
            running.task.detach();
        }
    }

    fn send(&mut self, to: ToTarget) {
        let (hub, inbound, outlet) = self.parts();
        let progress = Progress::default();
        let shared = progress.clone();
        let task = spawn(async move {
            let reply = targets::exchange(&hub, to, &inbound, &outlet, &shared).await;
            report(&hub, to.attempt, reply, &outlet);
        });
        self.running.insert(to.attempt, Running { task, progress });
    }

    fn forward(&mut self, to: ToNode) {
        let (hub, inbound, outlet) = self.parts();
        let attempt = to.attempt;
        let progress = Progress::default();
        let shared = progress.clone();
        let task = spawn(async move {
            let reply = link::forward(&hub, to, &inbound, &outlet, &shared).await;
            report(&hub, attempt, reply, &outlet);
        });
        self.running.insert(attempt, Running { task, progress });
    }

    fn parts(&self) -> (Arc<Hub>, Arc<Inbound>, Outlet) {
        (self.hub.clone(), self.inbound.clone(), self.outlet.clone())
    }

    /// Stops an attempt and reports what is certain of it.
    async fn cancel(&mut self, attempt: AttemptKey) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if running.task.cancel().await.is_some() {
            return;
        }
        let reply = if running.progress.was_sent() {
            Reply::Broken {
                started: self.outlet.started(),
            }
        } else {
            Reply::NotSent
        };
        report(&self.hub, attempt, reply, &self.outlet);
    }
}

/// Reports the end of an attempt. A broken answer that has started is cut off, never ended.
fn report(hub: &Arc<Hub>, attempt: AttemptKey, reply: Reply, outlet: &Outlet) {
    if matches!(reply, Reply::Broken { started: true }) {
        outlet.close();
    }
    hub.forget_attempt(attempt);
    hub.handle(Event::Reply(attempt, reply));
}
