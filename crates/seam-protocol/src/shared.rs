//! Values that many copies of a configuration share.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A value that is cheap to clone. A change through one copy leaves the others as they are.
///
/// ```
/// use std::collections::BTreeMap;
/// use seam_protocol::Shared;
/// let one = Shared::from(BTreeMap::from([(1, "a")]));
/// let mut other = one.clone();
/// other.insert(2, "b");
/// assert_eq!((one.len(), other.len()), (1, 2));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shared<T>(Arc<T>);

impl<T> From<T> for Shared<T> {
    fn from(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Clone> DerefMut for Shared<T> {
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}

#[expect(clippy::into_iter_without_iter, reason = "`iter` is that of the value")]
impl<'a, T> IntoIterator for &'a Shared<T>
where
    &'a T: IntoIterator,
{
    type Item = <&'a T as IntoIterator>::Item;
    type IntoIter = <&'a T as IntoIterator>::IntoIter;

    fn into_iter(self) -> Self::IntoIter {
        self.0.as_ref().into_iter()
    }
}
