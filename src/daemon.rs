//! The daemon: builds the parts, connects them to the board, and runs them to a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser;
use http::Request;
use slog::{info, warn};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use volo_http::body::Body;
use volo_http::server::Router;

use crate::accept::Closing;
use crate::announce::Desk;
use crate::board::Board;
use crate::config::Store;
use crate::entry::Entry;
use crate::error::{Error, ListenSnafu, Result};
use crate::gate::Gate;
use crate::guard::Keys;
use crate::join::Joiner;
use crate::log::Log;
use crate::member::{Health, Stage};
use crate::operator::Operator;
use crate::peer::Links;
use crate::probe::Membership;
use crate::publish::Publisher;
use crate::reader::Reader;
use crate::relay::Relay;
use crate::server::Server;
use crate::settings::Settings;
use crate::telemetry;

/// Exit status after a planned stop.
pub const EXIT_STOPPED: u8 = 0;
/// Exit status when the daemon failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit status when the settings are wrong.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit status when a second signal cut the stop short.
pub const EXIT_CUT_SHORT: u8 = 3;

/// Time for which sessions are ended after an answer before the process goes.
const LINGER: Duration = Duration::from_millis(2_500);

/// Runs the program `jackdawpulley` with the arguments of this process.
///
/// Returns the exit status.
#[must_use]
pub fn main() -> u8 {
    main_from(std::env::args_os())
}

/// Runs the program with the given arguments, the program's name first.
///
/// Returns the exit status.
#[must_use]
pub fn main_from(args: impl Iterator<Item = std::ffi::OsString>) -> u8 {
    let settings = match Settings::try_parse_from(args) {
        Ok(settings) => settings,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() {
                EXIT_SETTINGS
            } else {
                EXIT_STOPPED
            };
        }
    };
    if let Err(error) = settings.check() {
        eprintln!("{error}");
        return EXIT_SETTINGS;
    }
    if settings.check_settings {
        println!("the settings are right");
        return EXIT_STOPPED;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start threads: {error}; raise the limit of processes");
            return EXIT_FAILED;
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED
        }
    }
}

/// Runs a daemon until a signal or an operator stops it.
///
/// # Errors
///
/// [`Error::Listen`] when an address can't be had, [`Error::Serve`] when a server ends.
pub async fn run(settings: Settings) -> Result<u8> {
    let logger = telemetry::logger(settings.logs, settings.verbose);
    info!(logger, "starting"; "peer" => %settings.peer_addr, "data_centre" => %settings.data_centre);
    let board = Arc::new(Board::new(settings, logger));
    let store = Arc::new(Store::new(Arc::clone(&board)));
    let links = Arc::new(Links::new(
        board.settings.peer_addr.ip(),
        Arc::clone(&board.meter),
    ));
    let log = Log::new(board.settings.log_addr, Arc::clone(&board.meter));
    let relay = Arc::new(Relay::new(
        Arc::clone(&board),
        Arc::clone(&store),
        Arc::clone(&links),
    ));
    let membership = Membership::open(Arc::clone(&board), Arc::clone(&relay)).await?;
    let membership = Arc::new(membership);
    let reader = Arc::new(Reader::new(
        Arc::clone(&board),
        Arc::clone(&store),
        log.clone(),
    ));
    let keys = Arc::new(Keys::new(
        Arc::clone(&board),
        Arc::clone(&links),
        log.clone(),
    ));
    let gate = Arc::new(Gate::new(Arc::clone(&board), Arc::clone(&keys)));
    let server = Arc::new(Server {
        board: Arc::clone(&board),
        gate: Arc::clone(&gate),
        keys: Arc::clone(&keys),
        relay: Arc::clone(&relay),
        membership: Arc::clone(&membership),
    });
    let operator = Arc::new(Operator {
        board: Arc::clone(&board),
        publisher: Publisher::new(
            Arc::clone(&board),
            Arc::clone(&store),
            Arc::clone(&reader),
            log.clone(),
        ),
        gate: Arc::clone(&gate),
        keys: Arc::clone(&keys),
        metrics: telemetry::metrics(),
    });
    let joiner = Joiner {
        board: Arc::clone(&board),
        store,
        links,
        membership: Arc::clone(&membership),
        relay: Arc::clone(&relay),
        reader: Arc::clone(&reader),
        keys: Arc::clone(&keys),
        log,
    };
    let desk = Arc::new(Desk::new(Arc::clone(&board), Arc::clone(&membership)));
    let entry = Arc::new(Entry::new(Arc::clone(&board), gate));

    let listener = server.listen().await?;
    let mut servers = tokio::task::JoinSet::new();
    let faces = [
        (board.settings.operator_addr, operator.router()),
        (board.settings.target_addr, desk.router()),
    ];
    for (address, router) in faces {
        let listener = bind(address).await?;
        servers.spawn(serve(address, router, Closing::new(listener, None)));
    }
    servers.spawn(serve_calls(Arc::clone(&board), entry));
    tokio::spawn(server.run(listener));
    tokio::spawn(Arc::clone(&membership).run());
    tokio::spawn(relay.run());
    tokio::spawn(reader.run());
    tokio::spawn(joiner.run());
    stop(&board, &membership, &keys, servers).await
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves callers once the daemon is ready: until then the host refuses them, and they go on to
/// another daemon.
async fn serve_calls(board: Arc<Board>, entry: Arc<Entry>) -> Result<()> {
    let mut stages = board.stages();
    let ready = stages.wait_for(|stage| *stage != Stage::Starting).await;
    if ready.is_ok_and(|stage| *stage == Stage::Draining) {
        return Ok(());
    }
    let address = board.settings.call_addr;
    let listener = bind(address).await?;
    serve(
        address,
        calls(entry),
        Closing::new(listener, Some(board.stages())),
    )
    .await
}

fn calls(entry: Arc<Entry>) -> Router {
    Router::new().fallback(move |request: Request<Body>| {
        let entry = Arc::clone(&entry);
        async move { entry.serve(request).await }
    })
}

async fn serve(address: SocketAddr, router: Router, incoming: Closing) -> Result<()> {
    let ended = volo_http::server::Server::new(router).run(incoming).await;
    ended.map_err(|error| Error::Serve {
        address,
        reason: error.to_string(),
    })
}

/// Waits for the order to stop, then stops without cutting a call.
async fn stop(
    board: &Arc<Board>,
    membership: &Membership,
    keys: &Keys,
    mut servers: tokio::task::JoinSet<Result<()>>,
) -> Result<u8> {
    let listening = |source| Error::Listen {
        address: board.settings.operator_addr,
        source,
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(listening)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(listening)?;
    let mut stages = board.stages();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = stages.wait_for(|stage| *stage == Stage::Draining) => {}
        Some(Ok(Err(error))) = servers.join_next() => return Err(error),
    }
    info!(board.logger, "draining"; "in_flight" => board.in_flight());
    board.advance(Stage::Draining);
    let draining = async {
        membership.reflect().await;
        let began = Instant::now();
        tokio::time::sleep(LINGER).await;
        let limit = board
            .settings
            .drain_ms
            .duration()
            .saturating_sub(began.elapsed());
        if !board.idle(limit).await {
            warn!(board.logger, "calls are cut: the drain limit has passed";
                "in_flight" => board.in_flight());
        }
        // A planned stop must not look like a loss to the guard of keys.
        let handed = keys.hand_over().await;
        let health = if handed { Health::Left } else { Health::Gone };
        membership.leave(health).await;
    };
    tokio::select! {
        () = draining => {
            info!(board.logger, "stopped");
            Ok(EXIT_STOPPED)
        }
        _ = terminate.recv() => Ok(EXIT_CUT_SHORT),
        _ = interrupt.recv() => Ok(EXIT_CUT_SHORT),
    }
}
