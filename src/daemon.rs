//! The daemon program: builds its parts around the shared state and runs them until a graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::{error, info};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

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
use crate::extension::{Extension, Handles, Listener};
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::announce::Endpoint;
use crate::membership::contacts::Contacts;
use crate::membership::controller::Membership;
use crate::membership::join::Joiner;
use crate::membership::join_client::JoinClient;
use crate::membership::member::Stage;
use crate::membership::refresh::Refresher;
use crate::operation::operator::Operator;
use crate::peer::LinkPool;
use crate::peer::server::Server;
use crate::quarantine::archive::Archive;
use crate::quarantine::replicator::Replicator;
use crate::quota;
use crate::rollout::controller::Controller;
use crate::settings::Settings;
use crate::shared_state::SharedState;
pub use crate::shutdown::{EXIT_INTERRUPTED, EXIT_STOPPED};
use crate::shutdown::{Phases, Shutdown, Signals};
use crate::telemetry;
use crate::units::{Generation, Millis};

/// Exit status when the daemon failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit status when the settings are invalid.
pub const EXIT_SETTINGS: u8 = 2;

/// Maximum number of connections on each address for operators, the target and the platform.
const MAX_LOCAL_CONNECTIONS: usize = 64;
/// Interval between maintenance runs of the metrics recorder.
const METRICS_UPKEEP_PERIOD: Duration = Duration::from_secs(5);

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

/// Starts the runtime and runs a daemon with checked settings until it exits; returns the exit status.
#[must_use]
pub fn start(settings: Settings, extension: Extension) -> u8 {
    // A single-threaded runtime needs no wake-ups between threads: on a host that gives a daemon
    // part of one core, each wake-up saved is time for calls.
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
            eprintln!("cannot start threads: {error}; raise the process limit");
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

/// Runs a daemon until a signal or an operator shuts it down; returns the exit status.
///
/// # Errors
///
/// [`crate::Error::Listen`] if an address cannot be bound, [`crate::Error::Signals`] if signals cannot be
/// handled.
pub async fn run(settings: Settings, extension: Extension) -> Result<u8> {
    let signals = Signals::install()?;
    let logger = telemetry::logger(settings.logs, settings.verbose);
    info!(logger, "starting"; "peer" => %settings.peer_addr, "data_centre" => %settings.data_centre);
    let Extension {
        control_plane,
        dialect,
        reload,
        listeners,
    } = extension;
    let shared = Arc::new(SharedState::new(settings, dialect, logger));
    let store = Arc::new(Store::new(Arc::clone(&shared)));
    let links = Arc::new(LinkPool::new(
        shared.settings.peer_addr.ip(),
        Arc::clone(&shared.meter),
    ));
    let (log, source, archive) = sources(&shared, control_plane.as_ref());
    let relay = Arc::new(Relay::new(
        Arc::clone(&shared),
        Arc::clone(&store),
        Arc::clone(&links),
    ));
    let membership = Membership::open(Arc::clone(&shared), Arc::clone(&relay)).await?;
    let membership = Arc::new(membership);
    let reader = Arc::new(Reader::new(Arc::clone(&shared), Arc::clone(&store), source));
    let deduplicator = Arc::new(Deduplicator::new(
        Arc::clone(&shared),
        Arc::clone(&links),
        log.clone(),
    ));
    let sidecar = Arc::new(Sidecar::new(Arc::clone(&shared), Arc::clone(&deduplicator)));
    let phases = Phases::default();
    let server = Arc::new(Server {
        shared: Arc::clone(&shared),
        sidecar: Arc::clone(&sidecar),
        keys: Arc::clone(&deduplicator),
        relay: Arc::clone(&relay),
        membership: Arc::clone(&membership),
        phase: phases.end.subscribe(),
    });
    let publisher = Publisher::new(
        Arc::clone(&shared),
        Arc::clone(&store),
        Arc::clone(&reader),
        log.clone(),
    );
    let operator = operator(&shared, publisher, &sidecar, &deduplicator);
    let endpoint = endpoint(&shared, &membership);
    let contacts = Contacts {
        shared: Arc::clone(&shared),
        log,
        links: Arc::clone(&links),
        membership: Arc::clone(&membership),
    };
    let join_client = Arc::new(JoinClient {
        shared: Arc::clone(&shared),
        links,
        membership: Arc::clone(&membership),
        relay: Arc::clone(&relay),
        keys: Arc::clone(&deduplicator),
    });
    let joiner = Joiner {
        shared: Arc::clone(&shared),
        store,
        membership: Arc::clone(&membership),
        join_client,
        reader: Arc::clone(&reader),
        contacts,
        control_plane: control_plane.clone(),
        archive: archive.clone(),
        endpoint: Arc::clone(&endpoint),
    };
    let ingress = Arc::new(Ingress::new(Arc::clone(&shared), sidecar));
    let refresher = Refresher::new(&shared, &membership, &reader);

    let listener = server.listen().await?;
    serve_listeners(&shared, &endpoint, operator, listeners, &phases.end).await?;
    tokio::spawn(serve_calls(
        Arc::clone(&shared),
        ingress,
        phases.callers.subscribe(),
    ));
    tokio::spawn(server.run(listener));
    tokio::spawn(Arc::clone(&membership).run());
    tokio::spawn(relay.run());
    tokio::spawn(reader.run());
    tokio::spawn(Arc::new(joiner).run());
    if control_plane.is_some() {
        tokio::spawn(refresher.run());
    }
    spawn_replicators(&shared, &membership, control_plane.clone(), archive);
    let shutdown = Shutdown {
        shared,
        membership,
        keys: deduplicator,
        phases,
        control_plane,
        reload,
    };
    Ok(shutdown.run(signals).await)
}

/// Starts the tasks that replicate state between daemons: generations, rollouts, quotas and
/// quarantined requests.
fn spawn_replicators(
    shared: &Arc<SharedState>,
    membership: &Arc<Membership>,
    control_plane: Option<Arc<dyn ControlPlane>>,
    archive: Archive,
) {
    if let Some(control_plane) = &control_plane {
        tokio::spawn(follow_generations(
            Arc::clone(shared),
            control_plane.generations(),
        ));
    }
    tokio::spawn(Controller::new(shared, membership, control_plane).run());
    tokio::spawn(quota::controller::Controller::new(shared, membership).run());
    tokio::spawn(Replicator::new(shared, membership, archive).run());
}

/// Records each generation of its store that the platform reports.
async fn follow_generations(
    shared: Arc<SharedState>,
    mut generations: watch::Receiver<Generation>,
) {
    while generations.changed().await.is_ok() {
        let generation = *generations.borrow_and_update();
        info!(shared.logger, "platform store changed its generation"; "era" => generation.0);
        shared.record_generation(generation);
    }
}

/// Receives the target's announcements and verifies those that contradict each other.
fn endpoint(shared: &Arc<SharedState>, membership: &Arc<Membership>) -> Arc<Endpoint> {
    let endpoint = Arc::new(Endpoint::new(Arc::clone(shared), Arc::clone(membership)));
    let verifying = Arc::clone(&endpoint);
    tokio::spawn(async move { verifying.verify_claims().await });
    endpoint
}

/// Builds the operators' API.
fn operator(
    shared: &Arc<SharedState>,
    publisher: Publisher,
    sidecar: &Arc<Sidecar>,
    deduplicator: &Arc<Deduplicator>,
) -> Arc<Operator> {
    Arc::new(Operator {
        shared: Arc::clone(shared),
        publisher,
        sidecar: Arc::clone(sidecar),
        keys: Arc::clone(deduplicator),
        metrics: recorder(),
    })
}

/// The log, disabled if a control plane provides the configuration, the source of the reader and the
/// archive of quarantined requests.
fn sources(
    shared: &SharedState,
    control_plane: Option<&Arc<dyn ControlPlane>>,
) -> (Log, Source, Archive) {
    let (address, meter) = (shared.settings.log_addr, Arc::clone(&shared.meter));
    match control_plane {
        None => {
            let log = Log::new(address, meter);
            (log.clone(), Source::Log(log.clone()), Archive::Log(log))
        }
        Some(control_plane) => (
            Log::disabled(address, meter),
            Source::ControlPlane(Arc::clone(control_plane)),
            Archive::Platform(Arc::clone(control_plane)),
        ),
    }
}

/// Installs the metrics recorder and runs its maintenance for as long as the daemon runs.
///
/// Guards against memory growth: the recorder keeps each histogram sample until the metrics are
/// rendered or its maintenance runs.
fn recorder() -> Option<PrometheusHandle> {
    let handle = telemetry::install_recorder()?;
    let upkeep = handle.clone();
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(METRICS_UPKEEP_PERIOD).await;
            upkeep.run_upkeep();
        }
    });
    Some(handle)
}

/// Serves operators, the target and the adapter's listeners, which replace our own at the same address.
async fn serve_listeners(
    shared: &Arc<SharedState>,
    endpoint: &Arc<Endpoint>,
    operator: Arc<Operator>,
    listeners: Vec<Listener>,
    phase: &watch::Sender<Phase>,
) -> Result<()> {
    let handles = Handles {
        shared: Arc::clone(shared),
        endpoint: Arc::clone(endpoint),
    };
    let mut routers = vec![
        (shared.settings.operator_addr, operator.router()),
        (shared.settings.target_addr, Arc::clone(endpoint).router()),
    ];
    for listener in listeners {
        routers.retain(|(address, _)| *address != listener.address);
        routers.push((listener.address, (listener.routes)(handles.clone())));
    }
    for (address, router) in routers {
        let listener = bind(address).await?;
        let routed = http_server::router_handler(router, address);
        tokio::spawn(http_server::serve(
            Arc::clone(shared),
            listener,
            Callers::new(MAX_LOCAL_CONNECTIONS),
            phase.subscribe(),
            http_server::BoundsSource::Fixed(Bounds::default()),
            Arc::new(routed),
        ));
    }
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Serves callers.
///
/// With `accept_ms` at 0, callers can use another daemon, so connections are refused until this one is
/// ready. Otherwise callers know no other daemon, and are told to retry later.
async fn serve_calls(
    shared: Arc<SharedState>,
    ingress: Arc<Ingress>,
    phase: watch::Receiver<Phase>,
) {
    if shared.settings.accept_ms == Millis(0) {
        let mut stages = shared.stages();
        let ready = stages.wait_for(|stage| *stage != Stage::Starting).await;
        if ready.is_ok_and(|stage| stage.is_stopping()) {
            return;
        }
    }
    let listener = match bind(shared.settings.call_addr).await {
        Ok(listener) => listener,
        Err(error) => {
            error!(shared.logger, "cannot listen for callers, shutting down"; "error" => %error);
            shared.begin_shutdown();
            return;
        }
    };
    let callers = Callers::new(shared.settings.callers);
    let bounds = http_server::BoundsSource::Active(Arc::clone(&shared));
    http_server::serve(shared, listener, callers, phase, bounds, ingress).await;
}
