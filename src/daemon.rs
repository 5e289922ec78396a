//! The daemon: builds the parts, connects them to the board, and runs them to a planned stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::{error, info};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::board::Board;
use crate::calls::callers::Callers;
use crate::calls::http_server::{self, Phase};
use crate::calls::ingress::Ingress;
use crate::calls::sidecar::Sidecar;
use crate::configuration::control_plane::ControlPlane;
use crate::configuration::document::Bounds;
use crate::configuration::log::Log;
use crate::configuration::publish::Publisher;
use crate::configuration::reader::{Reader, Source};
use crate::configuration::relay::Relay;
use crate::configuration::store::Store;
use crate::error::{ListenSnafu, Result};
use crate::extension::{Extension, Face, Handles};
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::announce::Endpoint;
use crate::membership::contacts::Contacts;
use crate::membership::controller::Membership;
use crate::membership::join::Joiner;
use crate::membership::join_client::JoinClient;
use crate::membership::member::Stage;
use crate::membership::refresh::Refresher;
use crate::operation::operator::Operator;
use crate::peer::Links;
use crate::peer::server::Server;
use crate::quarantine::archive::Archive;
use crate::quarantine::replicator::Replicator;
use crate::rollout::controller::Controller;
use crate::settings::Settings;
use crate::stop::Stopping;
pub use crate::stop::{EXIT_CUT_SHORT, EXIT_STOPPED};
use crate::telemetry;
use crate::units::{Generation, Millis};

/// Exit status when the daemon failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit status when the settings are wrong.
pub const EXIT_SETTINGS: u8 = 2;

/// Connections that are kept on each address for operators, the target and the platform.
const OTHERS: usize = 64;
/// Time between two looks after the metrics.
const UPKEEP: Duration = Duration::from_secs(5);

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
    start(settings, Extension::default())
}

/// Starts threads and runs a daemon with checked settings to its end; returns the exit status.
#[must_use]
pub fn start(settings: Settings, extension: Extension) -> u8 {
    // One thread needs no other to wake it: on a host that gives a daemon a part of one core,
    // each wake-up less is time for calls.
    let mut builder = if settings.threads == 1 {
        tokio::runtime::Builder::new_current_thread()
    } else {
        tokio::runtime::Builder::new_multi_thread()
    };
    if settings.threads > 1 {
        builder.worker_threads(settings.threads);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start threads: {error}; raise the limit of processes");
            return EXIT_FAILED;
        }
    };
    match runtime.block_on(run(settings, extension)) {
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
/// [`crate::Error::Listen`] when an address can't be had.
pub async fn run(settings: Settings, extension: Extension) -> Result<u8> {
    let logger = telemetry::logger(settings.logs, settings.verbose);
    info!(logger, "starting"; "peer" => %settings.peer_addr, "data_centre" => %settings.data_centre);
    let Extension {
        origin,
        dialect,
        reread,
        faces,
    } = extension;
    let board = Arc::new(Board::new(settings, dialect, logger));
    let store = Arc::new(Store::new(Arc::clone(&board)));
    let links = Arc::new(Links::new(
        board.settings.peer_addr.ip(),
        Arc::clone(&board.meter),
    ));
    let (log, source) = sources(&board, origin.as_ref());
    let archive = origin
        .clone()
        .map_or_else(|| Archive::Log(log.clone()), Archive::Platform);
    let relay = Arc::new(Relay::new(
        Arc::clone(&board),
        Arc::clone(&store),
        Arc::clone(&links),
    ));
    let membership = Membership::open(Arc::clone(&board), Arc::clone(&relay)).await?;
    let membership = Arc::new(membership);
    let reader = Arc::new(Reader::new(Arc::clone(&board), Arc::clone(&store), source));
    let keys = Arc::new(Deduplicator::new(
        Arc::clone(&board),
        Arc::clone(&links),
        log.clone(),
    ));
    let gate = Arc::new(Sidecar::new(Arc::clone(&board), Arc::clone(&keys)));
    let server = Arc::new(Server {
        board: Arc::clone(&board),
        gate: Arc::clone(&gate),
        keys: Arc::clone(&keys),
        relay: Arc::clone(&relay),
        membership: Arc::clone(&membership),
    });
    let publisher = Publisher::new(
        Arc::clone(&board),
        Arc::clone(&store),
        Arc::clone(&reader),
        log.clone(),
    );
    let operator = operator(&board, publisher, &gate, &keys);
    let desk = Arc::new(Endpoint::new(Arc::clone(&board), Arc::clone(&membership)));
    let contacts = Contacts {
        board: Arc::clone(&board),
        log,
        links: Arc::clone(&links),
        membership: Arc::clone(&membership),
    };
    let greeting = Arc::new(JoinClient {
        board: Arc::clone(&board),
        links,
        membership: Arc::clone(&membership),
        relay: Arc::clone(&relay),
        keys: Arc::clone(&keys),
    });
    let joiner = Joiner {
        board: Arc::clone(&board),
        store,
        membership: Arc::clone(&membership),
        join_client: greeting,
        reader: Arc::clone(&reader),
        contacts,
        control_plane: origin.clone(),
        archive: archive.clone(),
        endpoint: Arc::clone(&desk),
    };
    let entry = Arc::new(Ingress::new(Arc::clone(&board), gate));
    let refresher = Refresher::new(&board, &membership, &reader);

    let listener = server.listen().await?;
    let phases = watch::Sender::new(Phase::Open);
    serve_faces(&board, &desk, operator, faces).await?;
    tokio::spawn(serve_calls(Arc::clone(&board), entry, phases.subscribe()));
    tokio::spawn(server.run(listener));
    tokio::spawn(Arc::clone(&membership).run());
    tokio::spawn(relay.run());
    tokio::spawn(reader.run());
    tokio::spawn(Arc::new(joiner).run());
    if origin.is_some() {
        tokio::spawn(refresher.run());
    }
    spawn_keepers(&board, &membership, origin.clone(), archive);
    let stopping = Stopping {
        board,
        membership,
        keys,
        phases,
        origin,
        reread,
    };
    stopping.run().await
}

/// Has what the daemons know together kept in step: eras, roll-outs and requests in quarantine.
fn spawn_keepers(
    board: &Arc<Board>,
    membership: &Arc<Membership>,
    origin: Option<Arc<dyn ControlPlane>>,
    archive: Archive,
) {
    if let Some(origin) = &origin {
        tokio::spawn(follow_eras(Arc::clone(board), origin.generations()));
    }
    tokio::spawn(Controller::new(board, membership, origin).run());
    tokio::spawn(Replicator::new(board, membership, archive).run());
}

/// Notes each era that the platform tells this daemon.
async fn follow_eras(board: Arc<Board>, mut eras: watch::Receiver<Generation>) {
    while eras.changed().await.is_ok() {
        let era = *eras.borrow_and_update();
        info!(board.logger, "platform in another era"; "era" => era.0);
        board.note_era(era);
    }
}

/// What operators are served by.
fn operator(
    board: &Arc<Board>,
    publisher: Publisher,
    gate: &Arc<Sidecar>,
    keys: &Arc<Deduplicator>,
) -> Arc<Operator> {
    Arc::new(Operator {
        board: Arc::clone(board),
        publisher,
        gate: Arc::clone(gate),
        keys: Arc::clone(keys),
        metrics: recorder(),
    })
}

/// The log, which stays closed where a platform keeps the configuration, and what readers read.
fn sources(board: &Board, origin: Option<&Arc<dyn ControlPlane>>) -> (Log, Source) {
    let (address, meter) = (board.settings.log_addr, Arc::clone(&board.meter));
    match origin {
        None => {
            let log = Log::new(address, meter);
            (log.clone(), Source::Log(log))
        }
        Some(origin) => (
            Log::disabled(address, meter),
            Source::ControlPlane(Arc::clone(origin)),
        ),
    }
}

/// The recorder of metrics, tended for as long as the daemon runs.
///
/// Guards against growth: samples of histograms are kept one by one until somebody asks for the
/// metrics or they are tended.
fn recorder() -> Option<PrometheusHandle> {
    let handle = telemetry::metrics()?;
    let tended = handle.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(UPKEEP).await;
            tended.run_upkeep();
        }
    });
    Some(handle)
}

/// Serves operators, the target, and whatever the adapter adds; its faces replace our own.
async fn serve_faces(
    board: &Arc<Board>,
    desk: &Arc<Endpoint>,
    operator: Arc<Operator>,
    faces: Vec<Face>,
) -> Result<()> {
    let handles = Handles {
        board: Arc::clone(board),
        endpoint: Arc::clone(desk),
    };
    let mut routers = vec![
        (board.settings.operator_addr, operator.router()),
        (board.settings.target_addr, Arc::clone(desk).router()),
    ];
    for face in faces {
        routers.retain(|(address, _)| *address != face.address);
        routers.push((face.address, (face.routes)(handles.clone())));
    }
    for (address, router) in routers {
        let listener = bind(address).await?;
        // Without a sender, these answer until the process is gone.
        let phases = watch::Sender::new(Phase::Open).subscribe();
        let routed = http_server::router_handler(router, address);
        tokio::spawn(http_server::serve(
            listener,
            Callers::new(OTHERS),
            phases,
            http_server::BoundsSource::Fixed(Bounds::default()),
            routed,
        ));
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves callers. A host that another daemon can stand in for refuses them until this one is
/// ready; where callers know no other daemon, each is told to come back.
async fn serve_calls(board: Arc<Board>, entry: Arc<Ingress>, phases: watch::Receiver<Phase>) {
    if board.settings.accept_ms == Millis(0) {
        let mut stages = board.stages();
        let ready = stages.wait_for(|stage| *stage != Stage::Starting).await;
        if ready.is_ok_and(|stage| stage.is_stopping()) {
            return;
        }
    }
    let listener = match bind(board.settings.call_addr).await {
        Ok(listener) => listener,
        Err(error) => {
            error!(board.logger, "callers can't be served"; "error" => %error);
            board.leave();
            return;
        }
    };
    let callers = Callers::new(board.settings.callers);
    let limits = http_server::BoundsSource::Active(board);
    let handler = move |request| {
        let entry = Arc::clone(&entry);
        async move { entry.serve(request).await }
    };
    http_server::serve(listener, callers, phases, limits, handler).await;
}
