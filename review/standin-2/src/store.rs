//! The platform's metadata store: a log of topics, some of them keyed.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{self, Head};

/// Most keys in one page of newest values.
const PAGE: usize = 500;

type Place = (String, u32);

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Newest value of each key, with its offset.
    newest: BTreeMap<String, (Vec<u8>, u64)>,
}

/// A store that serves until the process ends.
pub struct Store {
    pub address: SocketAddr,
    partitions: Mutex<BTreeMap<Place, Partition>>,
    appended: Condvar,
}

impl Store {
    /// Starts a store.
    pub fn start(address: SocketAddr) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind(address).map_err(|e| e.to_string())?;
        let store = Arc::new(Self {
            address,
            partitions: Mutex::default(),
            appended: Condvar::new(),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value of a keyed topic, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let _ = self.append(&(topic.to_owned(), 0), vec![record], None);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else {
                return;
            };
            let (status, body) = self.answer(&head, &body);
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = head.into_bytes();
            bytes.extend(body);
            if writer.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let get = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(known, _)| *known == name)
                .map(|(_, value)| unescape(value))
        };
        let part = get("part").and_then(|v| v.parse().ok()).unwrap_or(0);
        let place = (get("topic").unwrap_or_default(), part);
        match path {
            "/log-append" => {
                let at = get("at").and_then(|v| v.parse().ok());
                let Some(records) = split(body) else {
                    return ("400 Bad Request", b"{}".to_vec());
                };
                match self.append(&place, records, at) {
                    Ok((offset, end)) => (
                        "200 OK",
                        format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                    ),
                    Err(end) => (
                        "412 Precondition Failed",
                        format!("{{\"end\":{end}}}").into_bytes(),
                    ),
                }
            }
            "/log-read" => {
                let from = get("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = get("wait-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.read(&place, from, Duration::from_millis(wait))
            }
            "/log-newest" => self.newest(&place, get("after")),
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn append(
        &self,
        place: &Place,
        records: Vec<Vec<u8>>,
        at: Option<u64>,
    ) -> Result<(u64, u64), u64> {
        let mut partitions = self.lock();
        let partition = partitions.entry(place.clone()).or_default();
        let offset = partition.records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        for record in records {
            if place.0.starts_with("keyed.")
                && !record.is_empty()
                && record.len() > record[0] as usize
            {
                let (key, value) = record[1..].split_at(record[0] as usize);
                let key = String::from_utf8_lossy(key).into_owned();
                if value.is_empty() {
                    partition.newest.remove(&key);
                } else {
                    let offset = partition.records.len() as u64;
                    partition.newest.insert(key, (value.to_vec(), offset));
                }
            }
            partition.records.push(record);
        }
        let end = partition.records.len() as u64;
        drop(partitions);
        self.appended.notify_all();
        Ok((offset, end))
    }

    fn read(&self, place: &Place, from: u64, wait: Duration) -> (&'static str, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut partitions = self.lock();
        loop {
            let partition = partitions.entry(place.clone()).or_default();
            let end = partition.records.len() as u64;
            if from > end {
                return ("410 Gone", b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in &partition.records[from as usize..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return ("200 OK", body);
            }
            let waited = self.appended.wait_timeout(partitions, left);
            partitions = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, place: &Place, after: Option<String>) -> (&'static str, Vec<u8>) {
        let mut partitions = self.lock();
        let partition = partitions.entry(place.clone()).or_default();
        let after = after.unwrap_or_default();
        let matching = partition
            .newest
            .iter()
            .filter(|(key, _)| after.is_empty() || **key > after);
        let items: Vec<String> = matching
            .take(PAGE + 1)
            .map(|(key, (value, offset))| {
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                    base64(value)
                )
            })
            .collect();
        let more = items.len() > PAGE;
        let shown = &items[..items.len().min(PAGE)];
        let end = partition.records.len();
        let body = format!(
            "{{\"items\":[{}],\"more\":{more},\"end\":{end}}}",
            shown.join(",")
        );
        ("200 OK", body.into_bytes())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Place, Partition>> {
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        records.push(record.to_vec());
        body = rest;
    }
    Some(records)
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        rest = tail;
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(code) if *byte == b'%' => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(
                    DIGITS[(number >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
