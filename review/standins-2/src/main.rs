//! Stand-ins for callers, servers and the platform, and the cases that use them.

mod cases;
mod deployment;
mod http;
mod node;
mod store;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".to_owned());
    let trouble = match arguments.next().as_deref() {
        Some("trouble") => true,
        Some("calm") => false,
        _ => std::process::exit(2),
    };
    let broken = match case.as_str() {
        "late-readers" => cases::late_readers(&folder, trouble),
        "gone-callers" => cases::gone_callers(&folder, trouble),
        _ => {
            eprintln!("no case {case:?}");
            None
        }
    };
    let code = match broken {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    std::process::exit(code);
}
