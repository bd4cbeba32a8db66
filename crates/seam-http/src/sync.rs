//! Locks whose holders do not fail halfway.

use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Takes a lock. A holder that panicked has ended the task that it worked for; the table itself
/// is changed in single steps and stays usable.
///
/// ```
/// let table = std::sync::Mutex::new(1);
/// *seam_http::lock(&table) += 1;
/// assert_eq!(*seam_http::lock(&table), 2);
/// ```
pub fn lock<T: ?Sized>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a lock for reading. See [`lock`].
pub fn read<T: ?Sized>(table: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    table.read().unwrap_or_else(PoisonError::into_inner)
}

/// Takes a lock for writing. See [`lock`].
pub fn write<T: ?Sized>(table: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    table.write().unwrap_or_else(PoisonError::into_inner)
}
