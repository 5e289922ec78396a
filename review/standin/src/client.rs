//! Clients: connections to the `outbound` address of their machine, over a link of limited bandwidth.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Failure, Message, Reader};

/// Receive buffer of a connection over a slow link, in bytes. The kernel doubles it.
const WINDOW: i32 = 16 << 10;
/// Segment size of such a connection: that of an Ethernet. Loopback's own one of 64 KB makes the kernel buffer
/// megabytes at the sender.
const SEGMENT: i32 = 1_400;
/// Bytes that are taken from the link at a time.
const PART: usize = 4 << 10;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn close(socket: i32) -> i32;
}

/// A link that several connections share.
#[derive(Clone)]
pub struct Link {
    bytes_per_second: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Link {
    /// A link of this many megabits a second.
    pub fn new(mbps: f64) -> Self {
        Self {
            bytes_per_second: mbps * 1e6 / 8.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until the link has carried this many bytes more.
    fn carry(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().expect("not poisoned");
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// A connection, read over a link if there is one.
pub struct Source {
    stream: TcpStream,
    link: Option<Link>,
}

impl Read for Source {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let room = if self.link.is_some() {
            buffer.len().min(PART)
        } else {
            buffer.len()
        };
        let read = self.stream.read(&mut buffer[..room])?;
        if let Some(link) = &self.link {
            link.carry(read);
        }
        Ok(read)
    }
}

/// A client's connection to a daemon.
pub struct Connection {
    pub stream: TcpStream,
    reader: Reader<Source>,
}

impl Connection {
    /// Opens a connection, over a slow link if one is given.
    pub fn open(address: SocketAddr, link: Option<&Link>) -> io::Result<Self> {
        let stream = match link {
            None => TcpStream::connect_timeout(&address, Duration::from_secs(1))?,
            Some(_) => connect_with_small_window(address)?,
        };
        stream.set_nodelay(true)?;
        let source = Source {
            stream: stream.try_clone()?,
            link: link.cloned(),
        };
        Ok(Self {
            stream,
            reader: Reader::new(source),
        })
    }

    /// Sends a request.
    pub fn send(&mut self, request: Request<'_>, body: &[u8]) -> io::Result<()> {
        send(&mut self.stream, request, body)
    }

    /// A second handle for sending, and the connection for receiving.
    pub fn split(self) -> io::Result<(TcpStream, Self)> {
        Ok((self.stream.try_clone()?, self))
    }

    /// Reads a response, up to the client's deadline.
    pub fn receive(&mut self, until: Instant) -> Result<Message, Failure> {
        self.receive_noticing(until, |_| {})
    }

    /// As [`Connection::receive`], and passes the response to `on_head` when its head has been read.
    pub fn receive_noticing(
        &mut self,
        until: Instant,
        on_head: impl FnOnce(&Message),
    ) -> Result<Message, Failure> {
        let left = until
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        let _ = self.stream.set_read_timeout(Some(left));
        self.reader.message_noticing(true, on_head)
    }
}

/// A request without its body.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    /// Key of the client's tenant.
    pub key: Option<&'a str>,
}

/// Sends a request on a stream.
pub fn send(stream: &mut TcpStream, request: Request<'_>, body: &[u8]) -> io::Result<()> {
    let deadline = request.deadline.as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("X-Jackdawpulley-Request-Id", request.id),
        ("X-Jackdawpulley-Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(request.key.map(|key| ("X-Jackdawpulley-Credential", key)));
    let start = format!("{} {} HTTP/1.1", request.method, request.target);
    if request.method == "GET" {
        return http::write_without_body(stream, &start, &headers);
    }
    http::write(stream, &start, &headers, body)
}

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// A new id of a client attempt.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

fn connect_with_small_window(address: SocketAddr) -> io::Result<TcpStream> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(address) = address else {
        return Err(io::Error::other("only IPv4"));
    };
    let Ipv4Addr { .. } = *address.ip();
    let mut bytes = [0_u8; 16];
    bytes[..2].copy_from_slice(&2_u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&address.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&address.ip().octets());
    unsafe {
        let descriptor = socket(2, 1, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &WINDOW, 4);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SEGMENT, 4);
        if connect(descriptor, bytes.as_ptr(), 16) != 0 {
            let error = io::Error::last_os_error();
            close(descriptor);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(descriptor))
    }
}
