//! A small deployment: the daemons as separate processes, started as the deploy file says, and the
//! platform's part in their lives: readiness checks, signals and restarts.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reader};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::Upstream;

const STORE_PORT: u16 = 8_142;
const READY_PORT: u16 = 8_140;
const OUTBOUND_PORT: u16 = 8_141;
const CONTROL_PORT: u16 = 8_146;
const APP_PORT: u16 = 8_147;
const PEER_PORT: u16 = 7_660;
/// Pause before a process that has ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Time from the readiness of all daemons to the first request.
const LEAD: Duration = Duration::from_secs(4);

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Where a machine stands, and the service of its upstream.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    pub zone: &'static str,
    pub service: &'static str,
}

/// Bounds of the deployment, by their names on the pages.
pub type Bounds = &'static [(&'static str, &'static str)];

struct Process {
    child: Child,
    /// When SIGTERM was sent, if it was.
    terminated: Option<Instant>,
}

/// A machine with a daemon and its upstream.
pub struct Machine {
    pub place: Place,
    ip: IpAddr,
    process: Mutex<Option<Process>>,
    /// Whether clients come to it, by the readiness checks.
    is_in: Mutex<bool>,
    pub upstream: Upstream,
}

/// The deployment.
pub struct System {
    pub machines: Vec<Machine>,
    pub store: Store,
    pub record: Record,
    store_address: SocketAddr,
    bounds: Bounds,
    program: PathBuf,
    template: String,
    folder: PathBuf,
    grace: Duration,
    is_over: Mutex<bool>,
}

impl Machine {
    /// Where clients send their requests.
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.ip, OUTBOUND_PORT)
    }

    /// Whether clients come to it, by the readiness checks.
    pub fn is_in(&self) -> bool {
        *self.is_in.lock().expect("not poisoned")
    }
}

impl System {
    /// Starts the store, the upstreams and the daemons, and waits until all daemons are ready.
    pub fn start(
        places: &[Place],
        config: &str,
        bounds: Bounds,
        record: &Record,
    ) -> Result<Arc<Self>, String> {
        let network = free_network().ok_or("no loopback network is free")?;
        let host = |rack: u8, number: u8| IpAddr::V4(Ipv4Addr::new(127, network, rack, number));
        let store_address = SocketAddr::new(host(200, 1), STORE_PORT);
        let store = Store::start(store_address).map_err(|error| format!("the store: {error}"))?;
        store.put("keyed.op", "config", config.as_bytes());
        let (program, template) = deploy_file()?;
        let folder = std::env::temp_dir().join(format!("jackdaw-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        let mut machines = Vec::new();
        for (index, place) in places.iter().enumerate() {
            let ip = host(1, u8::try_from(index + 1).expect("a few machines"));
            let (address, control) = (
                SocketAddr::new(ip, APP_PORT),
                SocketAddr::new(ip, CONTROL_PORT),
            );
            let instance = format!("i-{index:08x}");
            let upstream = Upstream::start(
                address,
                control,
                place.service,
                place.zone,
                &instance,
                record,
            );
            let upstream = upstream.map_err(|error| format!("an upstream: {error}"))?;
            machines.push(Machine {
                place: *place,
                ip,
                process: Mutex::new(None),
                is_in: Mutex::new(true),
                upstream,
            });
        }
        let grace = bounds
            .iter()
            .find(|(name, _)| *name == "grace-s")
            .and_then(|(_, text)| text.parse().ok());
        let system = Arc::new(Self {
            machines,
            store,
            record: record.clone(),
            store_address,
            bounds,
            program,
            template,
            folder,
            grace: Duration::from_secs_f64(grace.unwrap_or(6.0)),
            is_over: Mutex::new(false),
        });
        for index in 0..system.machines.len() {
            system.launch(index, true)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &system.machines {
            while !is_ready(machine.ip) {
                if Instant::now() > until {
                    return Err(format!(
                        "the daemon at {} is not ready after 20 s",
                        machine.ip
                    ));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        for index in 0..system.machines.len() {
            let checking = Arc::clone(&system);
            thread::spawn(move || checking.check_readiness(index));
        }
        // Traffic starts some seconds after the machines do.
        thread::sleep(LEAD);
        record.write("all daemons are ready");
        Ok(system)
    }

    /// Starts the daemon of a machine, as the deploy file says.
    pub fn launch(&self, index: usize, first_start: bool) -> Result<(), String> {
        let machine = &self.machines[index];
        let settings = self.folder.join(format!("settings-{index}"));
        let text = self.render(machine, first_start);
        fs::write(&settings, text).map_err(|error| format!("{}: {error}", settings.display()))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{index}")));
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .env("JACKDAWPULLEY_NODE_FILE", &settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // The daemons end with this process, whatever ends it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))?;
        self.record
            .write(&format!("daemon {index} started, process {}", child.id()));
        *machine.process.lock().expect("not poisoned") = Some(Process {
            child,
            terminated: None,
        });
        Ok(())
    }

    /// Sends SIGTERM to a daemon, as the platform does, and SIGKILL after the time of grace.
    pub fn terminate(&self, index: usize) -> Instant {
        let mut process = self.machines[index].process.lock().expect("not poisoned");
        let now = Instant::now();
        if let Some(process) = &mut *process {
            process.terminated = Some(now);
            send_signal(&process.child, SIGTERM);
        }
        self.record.write(&format!("SIGTERM to daemon {index}"));
        now
    }

    /// Sends a signal to a daemon.
    pub fn signal(&self, index: usize, signal: i32) {
        let process = self.machines[index].process.lock().expect("not poisoned");
        if let Some(process) = &*process {
            send_signal(&process.child, signal);
        }
        self.record
            .write(&format!("signal {signal} to daemon {index}"));
    }

    /// Kills all daemons at the same moment.
    pub fn kill_all(&self) {
        for index in 0..self.machines.len() {
            self.signal(index, SIGKILL);
        }
    }

    /// Whether all daemons are ready.
    pub fn are_ready(&self) -> bool {
        self.machines.iter().all(|machine| is_ready(machine.ip))
    }

    /// Starts daemons again that have ended, and kills those whose time of grace is over, until the case ends.
    /// To be called by the main thread, since processes end with the thread that started them.
    pub fn supervise(&self, until: Instant) -> Result<(), String> {
        let mut ended: Vec<Option<Instant>> = vec![None; self.machines.len()];
        while Instant::now() < until {
            for (index, machine) in self.machines.iter().enumerate() {
                let now = Instant::now();
                let mut process = machine.process.lock().expect("not poisoned");
                if let Some(running) = &mut *process {
                    if running.terminated.is_some_and(|at| now > at + self.grace) {
                        send_signal(&running.child, SIGKILL);
                    }
                    if let Ok(Some(status)) = running.child.try_wait() {
                        self.record
                            .write(&format!("daemon {index} ended: {status}"));
                        *process = None;
                        ended[index] = Some(now);
                    }
                }
                drop(process);
                if ended[index].is_some_and(|at| now > at + RESTART_PAUSE) {
                    ended[index] = None;
                    self.launch(index, false)?;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    /// Whether the platform gives the clients of a machine new work.
    pub fn gives_work(&self, index: usize) -> bool {
        let zone = self.machines[index].place.zone;
        let in_zone: Vec<&Machine> = self
            .machines
            .iter()
            .filter(|machine| machine.place.zone == zone)
            .collect();
        let count = in_zone.iter().filter(|machine| machine.is_in()).count();
        self.machines[index].is_in() || 2 * count < in_zone.len()
    }

    /// Ends all daemons and removes the temporary folder, or leaves it if `REVIEW_KEEP` is set.
    pub fn end(&self) {
        *self.is_over.lock().expect("not poisoned") = true;
        for machine in &self.machines {
            let mut process = machine.process.lock().expect("not poisoned");
            if let Some(mut running) = process.take() {
                let _ = running.child.kill();
                let _ = running.child.wait();
            }
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs in {}", self.folder.display());
        }
    }

    fn check_readiness(&self, index: usize) {
        let machine = &self.machines[index];
        let mut misses = 0;
        while !*self.is_over.lock().expect("not poisoned") {
            let began = Instant::now();
            misses = if is_ready(machine.ip) { 0 } else { misses + 1 };
            let mut is_in = machine.is_in.lock().expect("not poisoned");
            let before = *is_in;
            *is_in = misses == 0 || (misses < 2 && before);
            if *is_in != before {
                let word = if *is_in {
                    "in"
                } else {
                    "out, after two misses"
                };
                self.record.write(&format!("daemon {index} is {word}"));
            }
            drop(is_in);
            thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
        }
    }

    fn render(&self, machine: &Machine, first_start: bool) -> String {
        let address = |port| SocketAddr::new(machine.ip, port).to_string();
        let mut values: BTreeMap<String, String> = BTreeMap::new();
        let mut set = |name: &str, value: String| values.insert(name.to_owned(), value);
        set("zone", machine.place.zone.to_owned());
        set("service", machine.place.service.to_owned());
        set("ip", machine.ip.to_string());
        set("app-addr", address(APP_PORT));
        set("port-range.0", PEER_PORT.to_string());
        set("listen.outbound", address(OUTBOUND_PORT));
        set("listen.control", address(CONTROL_PORT));
        set("listen.ready", address(READY_PORT));
        set("platform.address", self.store_address.to_string());
        set("first-start", first_start.to_string());
        set("heartbeat-interval-s", "1.5".to_owned());
        set("limits.cores", "1".to_owned());
        set("limits.max-fds", "4100".to_owned());
        for (name, value) in self.bounds {
            set(&format!("bounds.{name}"), (*value).to_owned());
        }
        let mut text = String::new();
        let mut rest = self.template.as_str();
        while let Some((before, after)) = rest.split_once("{{") {
            let (name, after) = after.split_once("}}").unwrap_or((after, ""));
            text.push_str(before);
            text.push_str(values.get(name).map_or("", String::as_str));
            rest = after;
        }
        text.push_str(rest);
        text
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.end();
    }
}

fn send_signal(child: &Child, signal: i32) {
    if let Ok(pid) = i32::try_from(child.id()) {
        unsafe { kill(pid, signal) };
    }
}

/// The program and the template of the settings that the deploy file names.
fn deploy_file() -> Result<(PathBuf, String), String> {
    let text = fs::read_to_string("deploy/system.toml")
        .map_err(|error| format!("deploy/system.toml: {error}"))?;
    let value = |name: &str| {
        let mut lines = text.lines().filter_map(|line| line.split_once('='));
        let found = lines.find(|(known, _)| known.trim() == name);
        found.map(|(_, value)| value.trim().trim_matches('"').to_owned())
    };
    let run = value("run").ok_or("the deploy file names no program")?;
    let program = PathBuf::from(run.split(' ').next().unwrap_or_default());
    if !program.exists() {
        return Err(format!(
            "{} is missing; run the build of the deploy file",
            program.display()
        ));
    }
    let template = value("template").ok_or("the deploy file names no template")?;
    let template =
        fs::read_to_string(Path::new(&template)).map_err(|error| format!("{template}: {error}"))?;
    Ok((program, template))
}

/// Second octet of a loopback network whose ports are free.
fn free_network() -> Option<u8> {
    let first = std::process::id() % 200;
    let octets =
        (0..200).map(|step| u8::try_from((first + step * 7) % 200 + 20).expect("below 220"));
    let mut octets = octets.filter(|octet| {
        let store = SocketAddr::from(([127, *octet, 200, 1], STORE_PORT));
        let machines = (1..=12_u8).flat_map(|host| {
            [READY_PORT, OUTBOUND_PORT, CONTROL_PORT, APP_PORT, PEER_PORT]
                .map(|port| SocketAddr::from(([127, *octet, 1, host], port)))
        });
        machines
            .chain([store])
            .all(|address| TcpListener::bind(address).is_ok())
    });
    octets.next()
}

fn is_ready(ip: IpAddr) -> bool {
    let check = || -> io::Result<bool> {
        let address = SocketAddr::new(ip, READY_PORT);
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        http::write(
            &mut stream,
            "GET /ready HTTP/1.1",
            &[("Host", "ready"), ("Connection", "close")],
            b"",
        )?;
        Ok(Reader::new(stream)
            .message(true)
            .is_ok_and(|response| response.status() == 200))
    };
    check().unwrap_or(false)
}
