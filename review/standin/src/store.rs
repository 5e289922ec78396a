//! The platform's metadata store: a log with keyed topics, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
}

/// The store, shared by its connections and the case.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves on `address` until the process exits.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a value as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, vec![record], None)
            .expect("no condition");
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(reading);
        while let Ok(request) = reader.message(false) {
            let (status, kind, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} Answer");
            if http::write(&mut stream, &start, &[("Content-Type", kind)], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, &'static str, Vec<u8>) {
        let target = request.second_word();
        let topic = http::parameter(target, "topic").unwrap_or_default();
        let json = |status, text: String| (status, "application/json", text.into_bytes());
        match http::path_of(target) {
            "/log-append" => {
                let at = http::parameter(target, "at").and_then(|at| at.parse().ok());
                match self.append(topic, records(&request.body), at) {
                    Ok((offset, end)) => {
                        json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
                    }
                    Err(end) => json(412, format!("{{\"end\":{end}}}")),
                }
            }
            "/log-read" => {
                let number =
                    |name| http::parameter(target, name).and_then(|text| text.parse::<u64>().ok());
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
                let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(usize::MAX);
                (
                    200,
                    "application/octet-stream",
                    self.read(topic, from, wait),
                )
            }
            "/log-newest" => json(200, self.newest(topic)),
            "/log-trim" => json(200, "{}".to_owned()),
            _ => json(404, "{}".to_owned()),
        }
    }

    fn append(
        &self,
        name: &str,
        records: Vec<Vec<u8>>,
        at: Option<usize>,
    ) -> Result<(usize, usize), usize> {
        let (state, appended) = &*self.state;
        let mut state = state.lock().expect("not poisoned");
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|at| at != offset) {
            return Err(offset);
        }
        for record in records {
            if name.starts_with("keyed.") {
                let length = usize::from(record.first().copied().unwrap_or(0));
                let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                let value = record[1 + length..].to_vec();
                if value.is_empty() {
                    topic.newest.remove(&key);
                } else {
                    topic.newest.insert(key, (value, topic.records.len()));
                }
            }
            topic.records.push(record);
        }
        appended.notify_all();
        Ok((offset, topic.records.len()))
    }

    fn read(&self, name: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (state, appended) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("not poisoned");
        loop {
            let end = state
                .topics
                .get(name)
                .map_or(0, |topic| topic.records.len());
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut page = (end as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0_u64.to_be_bytes());
                let records = state
                    .topics
                    .get(name)
                    .map_or(&[][..], |topic| &topic.records[from.min(end)..]);
                for record in records {
                    page.extend_from_slice(&u32::try_from(record.len()).unwrap_or(0).to_be_bytes());
                    page.extend_from_slice(record);
                }
                return page;
            }
            state = appended.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn newest(&self, name: &str) -> String {
        let state = self.state.0.lock().expect("not poisoned");
        let empty = Topic::default();
        let topic = state.topics.get(name).unwrap_or(&empty);
        let items = topic.newest.iter().map(|(key, (value, offset))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        });
        let items: Vec<String> = items.collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
            items.join(","),
            topic.records.len()
        )
    }
}

fn records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
