//! HTTP/1.1 with MessagePack bodies: a server with one thread for each connection, and a client that opens
//! a connection for each request.

use crate::value::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> Option<&str> {
        self.query.iter().find(|(k, _)| k == key).map(|(_, v)| v.as_str())
    }
    pub fn value(&self) -> Value {
        Value::decode(&self.body).unwrap_or(Value::Nil)
    }
}

/// An answer; none closes the connection without one.
pub type Answer = Option<(u16, Value)>;

/// Serves requests on a free loopback port and returns its address.
pub fn serve(handler: impl Fn(Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || connection(stream, &*handler));
        }
    });
    addr
}

fn connection(stream: TcpStream, handler: &dyn Fn(Request) -> Answer) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut write = stream.try_clone().ok()?;
    let mut read = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
        let (headers, body) = head_and_body(&mut read)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect();
        let request = Request { method, path: path.into(), query, body };
        let (status, body) = handler(request)?;
        let body = body.encode();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        write.write_all(&[head.as_bytes(), &body].concat()).ok()?;
        if headers.iter().any(|(k, v)| k == "connection" && v.eq_ignore_ascii_case("close")) {
            return None;
        }
    }
}

/// Reads the headers and a body of the length that they state.
fn head_and_body(read: &mut impl BufRead) -> Option<(Vec<(String, String)>, Vec<u8>)> {
    let mut headers = vec![];
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (k, v) = line.split_once(':')?;
        headers.push((k.to_ascii_lowercase(), v.trim().to_string()));
    }
    let length = headers.iter().find(|(k, _)| k == "content-length");
    let length = length.map_or(Some(0), |(_, v)| v.parse::<usize>().ok())?;
    let mut body = vec![0; length];
    read.read_exact(&mut body).ok()?;
    Some((headers, body))
}

/// Sends one request and waits for the answer until `limit` is over; none: no answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    limit: Duration,
) -> Answer {
    let deadline = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(limit)).ok()?;
    let body = body.map_or(vec![], Value::encode);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\ncontent-type: application/msgpack\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let mut write = stream.try_clone().ok()?;
    // A server may answer, and close, before it has read a body that is too long.
    let _ = write.write_all(&[head.as_bytes(), &body].concat());
    let left = deadline.checked_duration_since(Instant::now())?.max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut read = BufReader::new(stream);
    let mut line = String::new();
    read.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = head_and_body(&mut read)?;
    Some((status, Value::decode(&body).unwrap_or(Value::Nil)))
}
