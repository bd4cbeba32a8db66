//! Reads JSON of which single elements or fields may be unreadable.

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Returns a field that can be read, and logs one that cannot.
///
/// ```
/// use seam_node::odd_json::readable_field;
/// let fields = serde_json::from_str(r#"{"running": 3, "fence": "none"}"#).unwrap();
/// assert_eq!(readable_field(&fields, "running"), Some(3_u32));
/// assert_eq!(readable_field::<u64>(&fields, "fence"), None);
/// ```
#[must_use]
pub fn readable_field<T: DeserializeOwned>(fields: &Map<String, Value>, name: &str) -> Option<T> {
    let field = T::deserialize(fields.get(name)?);
    if let Err(error) = &field {
        log::warn!("field {name:?} cannot be read: {error}");
    }
    field.ok()
}

/// Returns the elements of a list that can be read, and logs how many cannot.
///
/// ```
/// use seam_node::odd_json::readable_elements;
/// let list = vec![1.into(), "two".into(), 3.into()];
/// assert_eq!(readable_elements::<u32>(list, "numbers"), [1, 3]);
/// ```
#[must_use]
pub fn readable_elements<T: DeserializeOwned>(list: Vec<Value>, name: &str) -> Vec<T> {
    let total = list.len();
    let mut unreadable = None;
    let mut elements = Vec::with_capacity(total);
    for value in list {
        match serde_json::from_value(value) {
            Ok(element) => elements.push(element),
            Err(error) => unreadable = Some(error),
        }
    }
    if let Some(error) = unreadable {
        let left_out = total - elements.len();
        log::warn!("{left_out} of {total} elements of the {name} cannot be read: {error}");
    }
    elements
}
