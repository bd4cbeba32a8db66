//! Diagnostics of configuration files: which file, which line, what was expected.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// What is wrong at one place.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DiagnosticKind {
    /// The file is not TOML.
    #[snafu(display("not TOML: {message}"))]
    Syntax {
        /// The parser's words.
        message: String,
    },
    /// A field that the section does not have.
    #[snafu(display("unknown field {field:?} in {section}{}", suggest(nearest.as_deref())))]
    UnknownField {
        /// The field.
        field: String,
        /// Where.
        section: String,
        /// The nearest known field.
        nearest: Option<String>,
    },
    /// A field that must be there.
    #[snafu(display("{section} lacks the field {field:?}, {expected}"))]
    MissingField {
        /// The field.
        field: String,
        /// Where.
        section: String,
        /// What it should hold.
        expected: String,
    },
    /// A value of another kind or out of range.
    #[snafu(display("{field:?} in {section} is {found}, expected {expected}"))]
    InvalidValue {
        /// The field.
        field: String,
        /// Where.
        section: String,
        /// What was found.
        found: String,
        /// What it should hold.
        expected: String,
    },
    /// A name that nothing has.
    #[snafu(display("{section} names the {kind} {name:?}, which does not exist{}",
        suggest(nearest.as_deref())))]
    UnknownName {
        /// Where.
        section: String,
        /// Kind of the thing named.
        kind: &'static str,
        /// The name.
        name: String,
        /// The nearest known name.
        nearest: Option<String>,
    },
    /// A name that two things have.
    #[snafu(display("the {kind} {name:?} is defined twice, first in {first}"))]
    Duplicate {
        /// Kind of the thing named.
        kind: &'static str,
        /// The name.
        name: String,
        /// Where it was first defined.
        first: String,
    },
    /// Two names that share a key.
    #[snafu(display("the {kind} {name:?} has the same key as {other:?}; rename one of them"))]
    KeyCollision {
        /// Kind of the thing named.
        kind: &'static str,
        /// One name.
        name: String,
        /// The other name.
        other: String,
    },
    /// Residency that no target satisfies.
    #[snafu(display("{section} can be served nowhere: {why}"))]
    UnservableResidency {
        /// Where.
        section: String,
        /// Why.
        why: String,
    },
    /// A thing that a whole deployment must have.
    #[snafu(display("the deployment has no {kind}; {help}"))]
    MissingSection {
        /// Kind of the thing.
        kind: &'static str,
        /// What to do.
        help: &'static str,
    },
    /// A file that cannot be read.
    #[snafu(display("cannot be read: {message}"))]
    Unreadable {
        /// The system's words.
        message: String,
    },
}

fn suggest(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |name| format!("; did you mean {name:?}?"))
}

/// One fault of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file.
    pub file: PathBuf,
    /// Line, from 1; zero for the file as a whole.
    pub line: usize,
    /// What is wrong.
    pub kind: DiagnosticKind,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        write!(f, ": {}", self.kind)
    }
}

/// Every fault found, never none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        let plural = if self.0.len() == 1 { "" } else { "s" };
        write!(f, "{} error{plural}; nothing was written", self.0.len())
    }
}

/// Why files do not make a configuration.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The files have diagnostics.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// All of them.
        diagnostics: Diagnostics,
    },
}

/// Returns the known name that is nearest to a wrong one, if any is near.
///
/// ```
/// use seam_config::error::nearest;
/// assert_eq!(nearest("regoin", ["region", "slots"]), Some("region".to_owned()));
/// assert_eq!(nearest("zebra", ["region", "slots"]), None);
/// ```
#[must_use]
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    const NEAR: f64 = 0.7;
    known
        .into_iter()
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(score, _)| *score >= NEAR)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, other)| other.to_owned())
}
