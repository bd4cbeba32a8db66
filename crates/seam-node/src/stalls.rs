//! Stalls of the event loop: how late its tasks run, and whether the process had a processor meanwhile.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use async_io::Timer;
use rustix::time::{ClockId, clock_gettime};
use seam_http::spawn;
use seam_protocol::Time;

use crate::clock::Clock;
use crate::runtime::NodeRuntime;

/// Interval at which the task on the event loop and the measuring thread wake up.
pub const INTERVAL: Duration = Duration::from_millis(250);
/// Delay from which a late task counts as a stall.
pub const STALL: Duration = Duration::from_millis(250);
/// Delay from which a stall is logged.
pub const LOGGED_STALL: Duration = Duration::from_millis(500);
/// Shortest time between two logged stalls.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a process did while its event loop stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StallKind {
    /// A thread was runnable and got no processor.
    Processor,
    /// A thread ran and did not return to the event loop.
    Busy,
    /// No thread was runnable: the process was stopped or the machine suspended.
    Stopped,
    /// The process did not run. Whether it was stopped or got no processor is not known on this system.
    NotRunning,
    /// Other threads ran in time: the workers were blocked, or the wake-up came late.
    Blocked,
}

impl StallKind {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Processor => "processor",
            Self::Busy => "busy",
            Self::Stopped => "stopped",
            Self::NotRunning => "not_running",
            Self::Blocked => "blocked",
        }
    }
}

/// What a thread did up to a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadTimes {
    /// Processor time.
    pub ran: Duration,
    /// Time for which it was runnable and did not run.
    pub waited: Duration,
}

/// Processor use of the process up to a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Usage {
    /// Processor time of all threads, on a system that does not tell more.
    Process(Duration),
    /// Times of each thread that has not ended.
    Threads(BTreeMap<u32, ThreadTimes>),
}

impl Usage {
    /// Returns the processor time of all threads since a base, and the longest time for which one was
    /// runnable and did not run, if it is known.
    fn since(&self, base: &Self) -> (Duration, Option<Duration>) {
        match (self, base) {
            (Self::Process(ran), Self::Process(before)) => (ran.saturating_sub(*before), None),
            (Self::Threads(threads), Self::Threads(before)) => {
                let mut ran = Duration::ZERO;
                let mut waited = Duration::ZERO;
                for (thread, times) in threads {
                    let before = before.get(thread).copied().unwrap_or_default();
                    ran += times.ran.saturating_sub(before.ran);
                    waited = waited.max(times.waited.saturating_sub(before.waited));
                }
                (ran, Some(waited))
            }
            // The system stopped to tell about threads.
            _ => (Duration::ZERO, None),
        }
    }
}

/// A stall of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// What the process did meanwhile.
    pub kind: StallKind,
    /// By how much the task on the event loop ran late.
    pub late: Duration,
    /// Time for which `cpu` and `run_queue` were measured. It includes the stall.
    pub span: Duration,
    /// Processor time of all threads.
    pub cpu: Duration,
    /// Longest time for which one thread was runnable and did not run.
    pub run_queue: Option<Duration>,
}

/// Attributes delays of the event loop to what the process did meanwhile.
#[derive(Debug)]
pub struct StallMeter {
    /// Time and use of the last sample at which the event loop was on time.
    base: (Time, Usage),
    /// Longest delay of the measuring thread since then.
    own_delay: Duration,
    due: Time,
}

impl StallMeter {
    /// Starts to measure.
    #[must_use]
    pub fn new(now: Time, usage: Usage) -> Self {
        Self {
            base: (now, usage),
            own_delay: Duration::ZERO,
            due: now + INTERVAL,
        }
    }

    /// Takes a sample on the measuring thread, which sleeps for [`INTERVAL`] between two.
    ///
    /// `finished` is the longest delay with which the event loop's task ran since the last sample,
    /// `overdue` the time since when it should have run.
    pub fn sample(
        &mut self,
        now: Time,
        usage: Usage,
        finished: Duration,
        overdue: Duration,
    ) -> Option<Stall> {
        self.own_delay = self.own_delay.max(now.since(self.due));
        self.due = now + INTERVAL;
        let stall = (finished >= STALL).then(|| self.stall(now, &usage, finished));
        if stall.is_some() || overdue < STALL {
            self.base = (now, usage);
            self.own_delay = Duration::ZERO;
        }
        stall
    }

    fn stall(&self, now: Time, usage: &Usage, late: Duration) -> Stall {
        let (start, base) = &self.base;
        let (cpu, run_queue) = usage.since(base);
        let most = late / 2;
        let waited = run_queue.unwrap_or_default();
        let kind = if cpu + waited >= most {
            if waited >= cpu {
                StallKind::Processor
            } else {
                StallKind::Busy
            }
        } else if self.own_delay < most {
            StallKind::Blocked
        } else if run_queue.is_some() {
            StallKind::Stopped
        } else {
            StallKind::NotRunning
        };
        Stall {
            kind,
            late,
            span: now.since(*start),
            cpu,
            run_queue,
        }
    }
}

/// Limits the log lines about stalls.
#[derive(Debug, Default)]
pub struct StallLog {
    last: Option<Time>,
    skipped: u64,
}

impl StallLog {
    /// Returns the number of stalls without a line since the last line, if this one gets a line.
    pub fn admit(&mut self, now: Time, late: Duration) -> Option<u64> {
        if late < LOGGED_STALL {
            return None;
        }
        if self.last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            self.skipped += 1;
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.skipped))
    }
}

/// What the task on the event loop tells the measuring thread, in microseconds of the clock.
#[derive(Debug, Default)]
struct LoopState {
    due: AtomicU64,
    /// Longest delay since the last sample.
    late: AtomicU64,
}

/// Measures the event loop until the process ends. Each delay of its task is passed to `delayed`, each
/// stall to `stalled`.
///
/// # Panics
/// If the system cannot create a thread.
pub fn measure(
    delayed: impl Fn(Duration) + Send + 'static,
    mut stalled: impl FnMut(Time, &Stall) + Send + 'static,
) {
    let clock = Clock::start();
    let state = Arc::new(LoopState::default());
    state.due.store(micros(INTERVAL), Ordering::Relaxed);
    let task_state = state.clone();
    spawn(async move {
        loop {
            let due = clock.now() + INTERVAL;
            task_state.due.store(due.0, Ordering::Relaxed);
            Timer::after(INTERVAL).await;
            let late = clock.now().since(due);
            task_state.late.fetch_max(micros(late), Ordering::Relaxed);
            delayed(late);
        }
    })
    .detach();
    thread::Builder::new()
        .name("stalls".to_owned())
        .spawn(move || {
            let mut reader = UsageReader::default();
            let mut meter = StallMeter::new(clock.now(), reader.read());
            loop {
                thread::sleep(INTERVAL);
                let now = clock.now();
                let finished = Duration::from_micros(state.late.swap(0, Ordering::Relaxed));
                let overdue = now.since(Time(state.due.load(Ordering::Relaxed)));
                if let Some(stall) = meter.sample(now, reader.read(), finished, overdue) {
                    stalled(now, &stall);
                }
            }
        })
        .expect("the system can create threads at startup");
}

/// Measures the event loop of a node process, for its metrics and its log.
pub fn start(runtime: Arc<NodeRuntime>) {
    let mut lines = StallLog::default();
    let delays = runtime.clone();
    measure(
        move |late| delays.metrics.loop_delayed(late),
        move |now, stall| {
            runtime.metrics.stalled(stall.kind);
            if let Some(skipped) = lines.admit(now, stall.late) {
                log_stall(stall, skipped);
            }
        },
    );
}

fn log_stall(stall: &Stall, skipped: u64) {
    let kind = stall.kind.name();
    let late = stall.late.as_millis() as u64;
    let span = stall.span.as_millis() as u64;
    let cpu = stall.cpu.as_millis() as u64;
    match stall.run_queue {
        Some(run_queue) => log::warn!(
            target: "process",
            kind = kind, late_ms = late, span_ms = span, cpu_ms = cpu,
            run_queue_ms = run_queue.as_millis() as u64, skipped = skipped;
            "event loop stalled"
        ),
        None => log::warn!(
            target: "process",
            kind = kind, late_ms = late, span_ms = span, cpu_ms = cpu, skipped = skipped;
            "event loop stalled"
        ),
    }
}

fn micros(duration: Duration) -> u64 {
    duration.as_micros() as u64
}

/// Reads the processor use of this process from the system.
#[derive(Debug, Default)]
struct UsageReader {
    /// The system has no times of threads.
    no_threads: bool,
}

impl UsageReader {
    fn read(&mut self) -> Usage {
        if !self.no_threads {
            match thread_times() {
                Ok(times) => return Usage::Threads(times),
                Err(error) => {
                    log::info!(target: "process", error:% = error; "no times of the run queue");
                    self.no_threads = true;
                }
            }
        }
        let ran = clock_gettime(ClockId::ProcessCPUTime);
        Usage::Process(Duration::new(ran.tv_sec as u64, ran.tv_nsec as u32))
    }
}

/// Returns the times of each thread of this process, as Linux counts them.
fn thread_times() -> io::Result<BTreeMap<u32, ThreadTimes>> {
    // A system without these times has no such file, while a thread's may be gone because it ended.
    std::fs::metadata("/proc/self/schedstat")?;
    let mut times = BTreeMap::new();
    for thread in std::fs::read_dir("/proc/self/task")? {
        let thread = thread?;
        let Ok(text) = std::fs::read_to_string(thread.path().join("schedstat")) else {
            continue;
        };
        let name = thread.file_name();
        let id = name.to_str().and_then(|name| name.parse().ok());
        let mut fields = text.split_whitespace().map(str::parse);
        let (Some(id), Some(Ok(ran)), Some(Ok(waited))) = (id, fields.next(), fields.next()) else {
            return Err(io::Error::other(format!("not understood: {text:?}")));
        };
        let thread = ThreadTimes {
            ran: Duration::from_nanos(ran),
            waited: Duration::from_nanos(waited),
        };
        times.insert(id, thread);
    }
    Ok(times)
}
