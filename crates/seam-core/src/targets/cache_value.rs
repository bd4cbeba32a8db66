//! What a cached part of a prompt saves, against the wait at the engine that holds it.

/// Largest weight of prefill. Beyond it, requests would wait past their objectives at engines that have
/// their prompts cached, while others are free.
const MAX_WEIGHT: f64 = 4.0;

/// Returns how much more a millisecond of prefill costs all requests than the one that causes it, by the
/// mean wait for prefill at the engines and the time of one prefill, both in milliseconds.
///
/// In an M/D/1 queue with utilization u and service time s, the mean wait is s u / 2(1 - u), and each unit
/// of work adds 1 / (1 - u) units to the work ahead of others. So the weight is 1 + 2 wait / s.
///
/// ```
/// use seam_core::targets::prefill_weight;
/// assert!((prefill_weight(0.0, 80.0) - 1.0).abs() < 1e-9);
/// assert!((prefill_weight(40.0, 80.0) - 2.0).abs() < 1e-9);
/// assert!((prefill_weight(1000.0, 80.0) - 4.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn prefill_weight(wait_ms: f64, prefill_ms: f64) -> f64 {
    (1.0 + 2.0 * wait_ms / prefill_ms.max(1.0)).min(MAX_WEIGHT)
}
