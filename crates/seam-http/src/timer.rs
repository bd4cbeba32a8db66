//! The timer of `hyper`'s connections.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;
use hyper::rt::Sleep;

/// Creates sleeps that stay ready once they have elapsed.
///
/// `hyper` polls the sleep of a connection's pings again if no request was open when it elapsed. A sleep
/// that is ready only once would end the pings of that connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionTimer;

impl hyper::rt::Timer for ConnectionTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(RepeatableSleep {
            deadline,
            timer: Timer::at(deadline),
        })
    }

    fn reset(&self, sleep: &mut Pin<Box<dyn Sleep>>, new_deadline: Instant) {
        if let Some(mut sleep) = sleep.as_mut().downcast_mut_pin::<RepeatableSleep>() {
            sleep.deadline = new_deadline;
            sleep.timer.set_at(new_deadline);
        } else {
            *sleep = self.sleep_until(new_deadline);
        }
    }
}

struct RepeatableSleep {
    deadline: Instant,
    timer: Timer,
}

impl Future for RepeatableSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        Pin::new(&mut self.timer).poll(context).map(drop)
    }
}

impl Sleep for RepeatableSleep {}
