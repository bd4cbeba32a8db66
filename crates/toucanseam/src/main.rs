//! The node process. One runs on each VM that serves callers.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use seam_config::Settings;
use seam_config::settings::Source;
use seam_node::daemon::{Draining, Serving};
use seam_node::{Daemon, PlatformAdapter, logs, stalls};

/// Commit of this build, or the version where that is unknown.
const BUILD: &str = env!("BUILD_COMMIT");

/// Entry node of a toucanseam deployment.
#[derive(FromArgs)]
struct Arguments {
    /// TOML file with the node's settings
    #[argh(option)]
    settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let (settings, diagnostics) = match seam_config::settings::load_tolerant(&arguments.settings) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if arguments.check {
        if !diagnostics.0.is_empty() {
            eprintln!("{diagnostics}");
            return ExitCode::FAILURE;
        }
        println!("{} is valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::start(&settings.log, BUILD) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    for diagnostic in &diagnostics.0 {
        log::error!("optional setting not used as written: {diagnostic}");
    }
    seam_http::start_workers(settings.workers);
    let code = seam_http::block_on(run(arguments.settings, settings));
    log::logger().flush();
    code
}

async fn run(path: PathBuf, settings: Settings) -> ExitCode {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("cannot receive signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let adapter = match &settings.source {
        Source::Bundles(_) => PlatformAdapter::default(),
        Source::Items(items) => seam_platform::platform_adapter(items),
    };
    let daemon = match Daemon::with_platform(settings, adapter).serve() {
        Ok(daemon) => daemon,
        Err(error) => {
            log::error!("{error}");
            return ExitCode::FAILURE;
        }
    };
    stalls::start(daemon.runtime().clone());
    let listen = daemon.listen;
    log::info!(
        "serving callers on {}, other nodes on {}, the administration API on {}",
        listen.caller,
        listen.peer,
        listen.admin
    );
    let daemon = serve(daemon, &path, &mut signals).await;
    let abort = async {
        while let Some(Ok(signal)) = signals.next().await {
            if signal != Signal::Hup {
                break;
            }
        }
    };
    let unfinished = daemon.finish(abort).await;
    log::info!("stopped with {unfinished} requests aborted");
    ExitCode::SUCCESS
}

/// Serves until SIGTERM or SIGINT starts the drain. SIGHUP reloads the settings.
async fn serve(daemon: Daemon<Serving>, path: &Path, signals: &mut Signals) -> Daemon<Draining> {
    while let Some(Ok(signal)) = signals.next().await {
        if signal == Signal::Hup {
            daemon.reload(path);
        } else {
            break;
        }
    }
    log::info!("draining");
    daemon.drain("signal")
}
