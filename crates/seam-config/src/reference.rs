//! Generates the configuration reference from the schema.

use std::fmt::Write;

use crate::reader::describe_type;
use crate::schema::SECTIONS;

/// Returns the configuration reference as Markdown.
///
/// ```
/// let page = seam_config::reference::page();
/// assert!(page.contains("latency_weight"));
/// ```
#[must_use]
pub fn page() -> String {
    let mut page = String::from(
        "# Configuration reference\n\n\
         Made from the code by `seamctl reference`; a test keeps the two alike.\n",
    );
    for section in SECTIONS {
        let _ = write!(page, "\n## `{}`\n\n{}\n\n", section.header, section.doc);
        page.push_str("| field | holds | default | meaning |\n| --- | --- | --- | --- |\n");
        for field in section.fields {
            let default = match field.default {
                None => "must be given".to_owned(),
                Some("") => "empty".to_owned(),
                Some(value) => value.to_owned(),
            };
            let field_type = describe_type(field.field_type);
            let _ = writeln!(
                page,
                "| `{}` | {field_type} | {default} | {} |",
                field.name, field.doc
            );
        }
    }
    page
}
