//! Measures how heartbeat traffic, memory and CPU time grow, for docs/CAPACITY.md.

mod calls;
mod cpu;
mod fit;
mod memory;
mod traffic;
mod waves;

use argh::FromArgs;
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATED: PeakAlloc = PeakAlloc;

/// Measures how resource use grows and prints Markdown tables.
#[derive(FromArgs)]
struct Arguments {
    /// what to measure: traffic, memory, cpu, calls, waves or all
    #[argh(positional, default = "String::from(\"all\")")]
    what: String,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    let wanted = |name: &str| arguments.what == "all" || arguments.what == name;
    if wanted("traffic") {
        traffic::print();
        traffic::print_liveness();
    }
    if wanted("memory") {
        memory::print();
    }
    if wanted("cpu") {
        cpu::print();
    }
    if wanted("calls") {
        calls::print();
    }
    if wanted("waves") {
        waves::print();
    }
}
