//! Lock functions that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Locks a mutex and ignores poisoning. A panic ends only the task that held the lock: the tables
/// behind the locks are changed in single steps, so they stay consistent.
///
/// ```
/// let table = std::sync::Mutex::new(1);
/// *seam_http::lock(&table) += 1;
/// assert_eq!(*seam_http::lock(&table), 2);
/// ```
pub fn lock<T: ?Sized>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for reading and ignores poisoning. See [`lock`].
pub fn read<T: ?Sized>(table: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks for writing and ignores poisoning. See [`lock`].
pub fn write<T: ?Sized>(table: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(PoisonError::into_inner)
}
