//! `seamctl explain`.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

use argh::FromArgs;
use http::Method;
use seam_http::full;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, ensure};

use super::{cell, print_json, print_list};
use crate::error::{CtlError, EmptyTokenSnafu, FileSnafu, OptionsSnafu};
use crate::node;

/// Name of the file that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Show where a node would send a request now, and why, without sending it. The request is given by --host and
/// --path, as callers send it, or by --customer and --service.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// address of a node's administration API
    #[argh(option)]
    admin: SocketAddr,

    /// file with the bearer token of the administration API
    #[argh(option)]
    token_file: PathBuf,

    /// name of the customer
    #[argh(option)]
    customer: Option<String>,

    /// name of the service
    #[argh(option)]
    service: Option<String>,

    /// host of the request
    #[argh(option)]
    host: Option<String>,

    /// path of the request, with its query
    #[argh(option)]
    path: Option<String>,

    /// method of the request (default GET)
    #[argh(option)]
    method: Option<String>,

    /// file with the API key of the tenant, `-` for standard input
    #[argh(option)]
    key_file: Option<PathBuf>,

    /// part of the prompt, in order: its identifier or digest, a colon, its length in tokens
    #[argh(option)]
    part: Vec<Part>,

    /// length of the prompt and limit of its output in tokens, separated by a comma
    #[argh(option)]
    tokens: Option<Tokens>,

    /// whether the request may run more than once, `true` or `false` (default by its route)
    #[argh(option)]
    idempotent: Option<bool>,

    /// identifier of the request, by which a service of its route is chosen
    #[argh(option)]
    id: Option<String>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// A part of a prompt, `ID:TOKENS`.
#[derive(Debug, PartialEq)]
struct Part(String, u32);

impl FromStr for Part {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let part = text
            .rsplit_once(':')
            .filter(|(id, _)| !id.is_empty())
            .and_then(|(id, tokens)| Some(Self(id.to_owned(), tokens.parse().ok()?)));
        part.ok_or_else(|| format!("{text:?} is no part ID:TOKENS"))
    }
}

/// Token counts of a prompt and its output, `INPUT,OUTPUT`.
#[derive(Debug, PartialEq)]
struct Tokens(u32, u32);

impl FromStr for Tokens {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let counts = text.split_once(',');
        let counts = counts.and_then(|(input, output)| {
            Some(Self(
                input.trim().parse().ok()?,
                output.trim().parse().ok()?,
            ))
        });
        counts.ok_or_else(|| format!("{text:?} is no pair of counts INPUT,OUTPUT"))
    }
}

/// Reads an API key from a file or standard input, without surrounding white space.
fn read_key(path: &Path) -> Result<String, CtlError> {
    if path.as_os_str() != STANDARD_INPUT {
        return node::read_token(path);
    }
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.context(FileSnafu { path })?;
    let key = text.trim();
    ensure!(!key.is_empty(), EmptyTokenSnafu { path });
    Ok(key.to_owned())
}

impl Explain {
    /// Runs the command.
    pub fn run(self) -> Result<ExitCode, CtlError> {
        let named = self.customer.is_some() || self.service.is_some();
        let routed = self.host.is_some() || self.path.is_some();
        let stated = self.method.is_some()
            || self.key_file.is_some()
            || !self.part.is_empty()
            || self.tokens.is_some()
            || self.idempotent.is_some()
            || self.id.is_some();
        let message = "give either --host and --path, or --customer and --service alone";
        ensure!(
            named != routed && !(named && stated),
            OptionsSnafu { message }
        );
        if named {
            self.by_names()
        } else {
            self.by_request()
        }
    }

    fn by_names(self) -> Result<ExitCode, CtlError> {
        let message = "give both --customer and --service";
        let names = self.customer.zip(self.service);
        let (customer, service) = names.context(OptionsSnafu { message })?;
        let path = format!(
            "/v1/explain?customer={}&service={}",
            node::encode_query(&customer),
            node::encode_query(&service)
        );
        let explanation = node::call(self.admin, &self.token_file, Method::GET, &path)?;
        if self.json {
            print_json(&explanation);
            return Ok(ExitCode::SUCCESS);
        }
        print_line!("{}", cell(&explanation["decision"]));
        print_line!(
            "by configuration {}, in force for {} ms",
            explanation["config"]["revision"],
            explanation["config"]["age_ms"]
        );
        print_line!();
        let fields = ["name", "allowed", "known", "wait_ms", "free"];
        print_list(&explanation["regions"], &fields);
        print_line!();
        print_line!("targets that could serve it: {}", explanation["targets"]);
        Ok(ExitCode::SUCCESS)
    }

    fn by_request(self) -> Result<ExitCode, CtlError> {
        let message = "give both --host and --path";
        let place = self.host.zip(self.path);
        let (host, path) = place.context(OptionsSnafu { message })?;
        let key = self.key_file.as_deref().map(read_key).transpose()?;
        let parts = self.part.iter().map(|Part(id, tokens)| json!([id, tokens]));
        let tokens = self
            .tokens
            .map(|Tokens(input, output)| json!([input, output]));
        let call = json!({
            "host": host,
            "path": path,
            "method": self.method,
            "api_key": key,
            "parts": parts.collect::<Vec<Value>>(),
            "tokens": tokens,
            "idempotent": self.idempotent,
            "id": self.id,
        });
        let target = (Method::POST, "/v1/explain");
        let body = full(call.to_string());
        let explanation = node::call_with(self.admin, &self.token_file, target, body)?;
        if self.json {
            print_json(&explanation);
        } else {
            print_explanation(&explanation);
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns the names in a list as a text; `none` for an empty list, and `all` for none.
fn names(list: &Value) -> String {
    let Some(list) = list.as_array() else {
        return "all".to_owned();
    };
    if list.is_empty() {
        return "none".to_owned();
    }
    list.iter().map(cell).collect::<Vec<_>>().join(" ")
}

fn print_decision(decision: &Value) {
    print_line!("{} {}", cell(&decision["action"]), cell(&decision["to"]));
    print_line!("{}", cell(&decision["reason"]));
    if !decision["retry_ms"].is_null() {
        print_line!("to be tried again after {} ms", decision["retry_ms"]);
    }
    print_line!();
}

fn print_explanation(explanation: &Value) {
    print_decision(&explanation["decision"]);
    if !explanation["with_tokens"].is_null() {
        print_line!("if it had tokens of the allowance now:");
        print_decision(&explanation["with_tokens"]);
    }
    for field in ["route", "tenant", "service", "repeatable"] {
        print_line!("{field}: {}", cell(&explanation[field]));
    }
    let homes = &explanation["homes"];
    print_line!(
        "regions of the route: {}; of the tenant: {}; permitted: {}",
        names(&homes["route"]),
        names(&homes["tenant"]),
        names(&homes["permitted"])
    );
    print_line!(
        "configuration: {}, in force for {} ms",
        explanation["config"]["revision"],
        explanation["config"]["age_ms"]
    );
    let confirmation = &explanation["confirmation"];
    let confirmed = if confirmation["limit_ms"].is_null() {
        "no limit on revocation".to_owned()
    } else {
        let (age, limit) = (cell(&confirmation["age_ms"]), &confirmation["limit_ms"]);
        format!("confirmed {age} ms ago, limit {limit} ms")
    };
    print_line!(
        "requests with API keys admitted: {}; {confirmed}",
        confirmation["admits"]
    );
    match &explanation["allowance"] {
        Value::Null => print_line!("allowance: no limit"),
        allowance => print_line!(
            "allowance: {}; costs {} tokens, {} held here",
            cell(&allowance["decision"]),
            allowance["cost"],
            allowance["held"]
        ),
    }
    match &explanation["competition"] {
        Value::Null => print_line!("competition: none"),
        contest => print_line!(
            "competition: rank {}, held for rank {}, room {}, in excess {}; an urgent prompt waits {} ms, slots \
             {} and memory {} in use",
            contest["rank"],
            cell(&contest["held_for"]),
            cell(&contest["room"]),
            contest["excess"],
            contest["urgent_wait_ms"],
            contest["slots"],
            contest["memory"]
        ),
    }
    print_line!();
    let fields = [
        "name",
        "permitted",
        "known",
        "round_trip_ms",
        "wait_ms",
        "free",
    ];
    print_list(&explanation["regions"], &fields);
    print_line!();
    let fields = [
        "name",
        "phase",
        "load",
        "running",
        "slots",
        "memory_used",
        "memory",
        "cached_tokens",
        "uncached_tokens",
        "first_token_ms",
        "cost_ms",
        "reason",
    ];
    print_list(&explanation["targets"], &fields);
}

#[cfg(test)]
mod tests {
    use super::{Part, Tokens};

    /// Guards against a prompt that is explained otherwise than stated, as a part of it cannot be read.
    #[test]
    fn malformed_prompts() {
        assert_eq!("4f:120".parse(), Ok(Part("4f".to_owned(), 120)));
        assert_eq!("9190, 60".parse(), Ok(Tokens(9190, 60)));
        for text in ["", "4f", ":120", "4f:", "4f:-1", "4f:x", "4f:4294967296"] {
            assert!(text.parse::<Part>().is_err(), "{text:?}");
        }
        for text in ["", "9190", "9190,", "9190;60", "-1,60"] {
            assert!(text.parse::<Tokens>().is_err(), "{text:?}");
        }
    }
}
