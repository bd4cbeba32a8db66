//! Diagnostics for configuration files, with the file, the line and the expected value.

use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// What is wrong at one location of a file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DiagnosticKind {
    /// The file is not TOML.
    #[snafu(display("not TOML: {message}"))]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// The section has no field of this name.
    #[snafu(display("unknown field {field:?} in {section}{}", suggest(nearest.as_deref())))]
    UnknownField {
        /// Name of the field.
        field: String,
        /// Section, as shown to the user.
        section: String,
        /// Most similar known field.
        nearest: Option<String>,
    },
    /// A required field is missing.
    #[snafu(display("{section} is missing the field {field:?}, {expected}"))]
    MissingField {
        /// Name of the field.
        field: String,
        /// Section, as shown to the user.
        section: String,
        /// Expected type and range.
        expected: String,
    },
    /// A value has the wrong type or is out of range.
    #[snafu(display("{field:?} in {section} is {found}, expected {expected}"))]
    InvalidValue {
        /// Name of the field.
        field: String,
        /// Section, as shown to the user.
        section: String,
        /// Value in the file.
        found: String,
        /// Expected type and range.
        expected: String,
    },
    /// A reference to a name that is not defined.
    #[snafu(display("{section} refers to the {kind} {name:?}, which does not exist{}",
        suggest(nearest.as_deref())))]
    UnknownName {
        /// Section, as shown to the user.
        section: String,
        /// Kind of object, such as `region`.
        kind: &'static str,
        /// Name that is not defined.
        name: String,
        /// Most similar known name.
        nearest: Option<String>,
    },
    /// A name is defined twice.
    #[snafu(display("the {kind} {name:?} is defined twice, first in {first}"))]
    Duplicate {
        /// Kind of object, such as `region`.
        kind: &'static str,
        /// Name that is defined twice.
        name: String,
        /// Location of the first definition.
        first: String,
    },
    /// Two names hash to the same ID.
    #[snafu(display("the {kind} {name:?} has the same ID as {other:?}; rename one of them"))]
    IdCollision {
        /// Kind of object, such as `region`.
        kind: &'static str,
        /// Name that is defined later.
        name: String,
        /// Name that is defined earlier.
        other: String,
    },
    /// No target satisfies the residency.
    #[snafu(display("{section} cannot be served in any region: {reason}"))]
    UnservableResidency {
        /// Section, as shown to the user.
        section: String,
        /// Reason.
        reason: String,
    },
    /// No file has a section that every deployment requires.
    #[snafu(display("no {kind} is defined; {help}"))]
    MissingSection {
        /// Kind of object.
        kind: &'static str,
        /// Advice for the user.
        help: &'static str,
    },
    /// A file or folder cannot be read.
    #[snafu(display("cannot be read: {message}"))]
    Unreadable {
        /// Message of the operating system.
        message: String,
    },
}

fn suggest(nearest: Option<&str>) -> String {
    nearest.map_or_else(String::new, |name| format!("; did you mean {name:?}?"))
}

/// An error at one location of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// File or folder.
    pub file: PathBuf,
    /// Line, from 1; 0 means the whole file.
    pub line: usize,
    /// Whether a node can start without the value.
    pub optional: bool,
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

/// All diagnostics of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in &self.0 {
            writeln!(f, "{diagnostic}")?;
        }
        let plural = if self.0.len() == 1 { "" } else { "s" };
        write!(f, "{} error{plural}; nothing was written", self.0.len())
    }
}

/// Errors in loading a configuration.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    /// The files contain errors.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// Every error that was found.
        diagnostics: Diagnostics,
    },
}

/// Returns the known name that is most similar to a misspelled one, if any is similar enough.
///
/// ```
/// use seam_config::error::nearest;
/// assert_eq!(nearest("regoin", ["region", "slots"]), Some("region".to_owned()));
/// assert_eq!(nearest("zebra", ["region", "slots"]), None);
/// ```
#[must_use]
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    const MIN_SIMILARITY: f64 = 0.7;
    known
        .into_iter()
        .map(|other| (strsim::jaro_winkler(name, other), other))
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|(a, _), (b, _)| a.total_cmp(b))
        .map(|(_, other)| other.to_owned())
}
