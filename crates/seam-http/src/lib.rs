//! HTTP clients and servers on the executor shared by all toucanseam programs.

pub mod body;
pub mod bounds;
pub mod client;
pub mod exec;
mod frames;
pub mod guard;
pub mod liveness;
pub mod serve;
pub mod sync;
pub mod timer;

pub use body::{Body, BodyError, empty, full, json};
pub use client::{
    ClientError, Connection, fetch, fetch_long, get_json, read_body, read_long, send_within,
};
pub use exec::{Spawner, block_on, spawn, start_workers};
pub use guard::ResponseBody;
pub use serve::{CallerLimits, Incoming, Listener, ServerLimits, Stop, serve, serve_with_limits};
pub use sync::lock;
pub use timer::ConnectionTimer;
