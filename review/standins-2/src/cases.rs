//! The cases. Each returns whether its rule was broken, `None` if it could not run.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Work, channel, send, small_channel};

/// Callers that read on only after a pause (rule LOST).
pub fn late_readers(folder: &str, trouble: bool) -> Option<bool> {
    const CALLERS: usize = 6;
    /// The longest answer of the sheet's application servers.
    const ANSWER_BYTES: usize = 4800;
    /// Time budget of `log-entry`, also the timeout of the routes.
    const BUDGET_MS: u64 = 6000;
    /// More than this many channels have to be closed without an answer.
    const ALLOWED: usize = 3;
    let pause = if trouble {
        Duration::from_millis(5200)
    } else {
        Duration::ZERO
    };
    let work = Work {
        slots: 6,
        time: Duration::from_millis(15),
    };
    let mut deployment = Deployment::start("late", work, 400, BUDGET_MS)?;
    let record = deployment.record.clone();
    let callers = (0..CALLERS).map(|index| {
        let address = deployment.nodes[index % deployment.nodes.len()].caller;
        let (record, ledger) = (record.clone(), deployment.ledger.clone());
        thread::spawn(move || -> std::io::Result<bool> {
            let mut wire = small_channel(address)?;
            let (method, route) = if index < CALLERS / 2 { ("POST", "book") } else { ("GET", "view") };
            let mut lost = false;
            for (step, length) in [800, ANSWER_BYTES].into_iter().enumerate() {
                let id = format!("{route}-{index}-{step}");
                let path = format!("/{route}/{index}/{length}");
                let start = Instant::now();
                record.add(format!("caller {index} sends {id} on its channel"));
                send(&mut wire, (method, &path), &id, BUDGET_MS, 0)?;
                if step == 1 && !pause.is_zero() {
                    record.add(format!("caller {index} reads nothing for {} ms", pause.as_millis()));
                    thread::sleep(pause);
                }
                let answer = wire.head();
                let answer = answer.and_then(|head| head.ok_or(std::io::ErrorKind::UnexpectedEof.into()));
                let body = answer.and_then(|head| Ok((head.status(), wire.body(&head, false)?.len())));
                let ran = ledger.runs.lock().unwrap().contains_key(&id);
                let took = start.elapsed().as_millis();
                match body {
                    Ok((status, bytes)) => record.add(format!(
                        "caller {index} has the answer to {id}: {status}, {bytes} bytes, after {took} ms"
                    )),
                    Err(error) => {
                        lost |= ran;
                        record.add(format!(
                            "caller {index}: the channel ends without the whole answer to {id} after {took} ms of \
                             {BUDGET_MS}, run at a server: {ran}: {error}"
                        ));
                        break;
                    }
                }
            }
            Ok(lost)
        })
    });
    let callers: Vec<_> = callers.collect();
    let ended: Vec<_> = callers
        .into_iter()
        .map(|caller| caller.join().ok()?.ok())
        .collect();
    let ended: Option<Vec<bool>> = ended.into_iter().collect();
    let lost = ended.map(|ended| ended.iter().filter(|lost| **lost).count());
    record.add(format!(
        "requests without a whole answer: {lost:?} of {CALLERS}, allowed {ALLOWED}"
    ));
    record.add(format!("all nodes run: {}", deployment.all_run()));
    record.write(&format!("{folder}/record.txt")).ok()?;
    lost.map(|lost| lost > ALLOWED)
}

/// Returns the ports of peers that have closed a channel which the other side still has open, as the system
/// lists them (state `CLOSE_WAIT`).
fn closed_by_peer() -> Vec<u16> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let fields = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let waiting = fields.filter(|fields| fields.get(3) == Some(&"08"));
    waiting
        .filter_map(|fields| u16::from_str_radix(fields[2].split(':').nth(1)?, 16).ok())
        .collect()
}

/// Callers that leave while their requests, with long bodies, wait for a server (rule GONE).
pub fn gone_callers(folder: &str, trouble: bool) -> Option<bool> {
    const CALLERS: usize = 500;
    /// Their interval: 245 a second for 2.0 s, a zone's peak (62.7 * 2.3) with the `burst` of a zone (1.7).
    const INTERVAL: Duration = Duration::from_micros(4080);
    /// Of ten callers, three leave.
    const LEAVING: usize = 3;
    const BODY_BYTES: usize = 100_000;
    const BUDGET_MS: u64 = 4000;
    const PATIENCE: Duration = Duration::from_millis(300);
    const LATE: Duration = Duration::from_millis(500);
    /// "A few" requests.
    const ALLOWED: usize = 5;
    let work = Work {
        slots: 6,
        time: Duration::from_millis(60),
    };
    let mut deployment = Deployment::start("gone", work, 5000, BUDGET_MS)?;
    let record = deployment.record.clone();
    let left: Arc<Mutex<Vec<(String, u16, Instant)>>> = Arc::default();
    let address = deployment.nodes[0].caller;
    let callers = (0..CALLERS).map(|index| {
        thread::sleep(INTERVAL);
        let (record, left) = (record.clone(), left.clone());
        thread::spawn(move || -> std::io::Result<()> {
            let route = if index / 10 % 2 == 0 { "view" } else { "book" };
            let id = format!("{route}-{index}");
            let path = format!("/{route}/{index}/800");
            let mut wire = channel(address)?;
            let port = wire.stream.local_addr()?.port();
            record.add(format!(
                "caller {index} sends {id}, {BODY_BYTES} bytes, from port {port}"
            ));
            send(&mut wire, ("POST", &path), &id, BUDGET_MS, BODY_BYTES)?;
            let leaves = trouble && index % 10 < LEAVING;
            if leaves {
                wire.stream.set_read_timeout(Some(PATIENCE))?;
            }
            match wire.head() {
                Ok(head) => {
                    let status = head.map(|head| head.status());
                    record.add(format!("caller {index} has an answer to {id}: {status:?}"));
                }
                Err(error) if leaves => {
                    drop(wire);
                    record.add(format!(
                        "caller {index} leaves: it closes the channel of {id}"
                    ));
                    left.lock().unwrap().push((id, port, Instant::now()));
                    let _ = error;
                }
                Err(error) => record.add(format!("caller {index}: no answer to {id}: {error}")),
            }
            Ok(())
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(PATIENCE + Duration::from_millis(150));
    let closed = closed_by_peer();
    for caller in callers {
        caller.join().ok()?.ok()?;
    }
    thread::sleep(Duration::from_secs(3));
    let arrivals = deployment.ledger.arrivals.lock().unwrap().clone();
    let runs = deployment.ledger.runs.lock().unwrap().clone();
    let left = left.lock().unwrap();
    let mut late = 0;
    for (id, port, at) in left.iter() {
        let reached = arrivals.iter().filter(|(_, known)| known == id);
        let after = reached
            .filter_map(|(reached, _)| reached.checked_duration_since(*at))
            .max();
        if let Some(after) = after.filter(|after| *after > LATE) {
            late += 1;
            record.add(format!(
                "{id} reached a server {} ms after its caller had closed the channel; the system listed it as \
                 closed by the caller at 450 ms: {}; it ran: {}",
                after.as_millis(),
                closed.contains(port),
                runs.contains_key(id)
            ));
        }
    }
    record.add(format!("callers that left: {} of {CALLERS}", left.len()));
    record.add(format!(
        "requests that reached a server over {} ms later: {late}, allowed {ALLOWED}",
        LATE.as_millis()
    ));
    record.add(format!("all nodes run: {}", deployment.all_run()));
    record.write(&format!("{folder}/record.txt")).ok()?;
    Some(late > ALLOWED)
}
