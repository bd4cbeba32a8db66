//! The process-wide executor, run by a pool of worker threads.

use std::future::Future;
use std::thread;

use async_executor::{Executor, Task};
use futures_lite::future;

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs the tasks of `hyper` on the executor.
#[derive(Clone, Copy, Debug)]
pub struct Spawner;

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        EXECUTOR.spawn(future).detach();
    }
}

/// Spawns a task. Dropping the returned handle cancels the task unless it is detached.
///
/// ```
/// seam_http::start_workers(1);
/// let task = seam_http::spawn(async { 2 + 2 });
/// assert_eq!(seam_http::block_on(task), 4);
/// ```
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Starts worker threads. They run until the process ends.
///
/// # Panics
/// If the system cannot create a thread.
pub fn start_workers(count: usize) {
    for index in 0..count {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| async_io::block_on(EXECUTOR.run(future::pending::<()>())))
            .expect("the system can create worker threads at startup");
    }
}

/// Runs a future to completion on the current thread.
///
/// ```
/// assert_eq!(seam_http::block_on(async { 1 }), 1);
/// ```
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(future)
}
