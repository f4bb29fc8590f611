//! A small HTTP/1.1 client for MessagePack bodies, with a bounded connection pool for each address,
//! a time limit on every call and a maximum size of response bodies.

use crate::net::Net;
use bytes::Bytes;
use copperhaven_wire::encode;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Error of a call that got no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was not sent, so it has certainly not been executed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have been executed, or may still be.
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Decodes the MessagePack body. Logs a malformed body and returns `None`.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        match rmp_serde::from_slice(&self.body) {
            Ok(v) => Some(v),
            Err(e) => {
                tracing::warn!("ignored a response with a malformed body: {e}");
                None
            }
        }
    }
}

type Conn = SendRequest<Full<Bytes>>;

/// Time after which an idle connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An HTTP client that pools idle connections by address.
#[derive(Default)]
pub struct Client {
    /// By address: idle connections, and since when they are idle.
    idle: Mutex<HashMap<String, Vec<(Conn, Instant)>>>,
    max_idle_per_host: usize,
    net: Net,
}

impl Client {
    /// Returns a client over TCP that keeps up to `max_idle_per_host` idle connections for each address.
    pub fn new(max_idle_per_host: usize) -> Self {
        Client::with_net(Net::Tcp, max_idle_per_host)
    }

    /// Returns a client like `new` that opens its connections through `net`.
    pub fn with_net(net: Net, max_idle_per_host: usize) -> Self {
        Client { idle: Mutex::default(), max_idle_per_host, net }
    }

    /// Takes a usable idle connection from the pool.
    fn take_idle(&self, addr: &str) -> Option<Conn> {
        let mut idle = self.idle.lock().expect("lock");
        let list = idle.get_mut(addr)?;
        while let Some((conn, since)) = list.pop() {
            if since.elapsed() < IDLE_TIMEOUT && conn.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// Puts a connection into the pool, and drops expired and closed ones of all addresses.
    fn put_idle(&self, addr: &str, conn: Conn) {
        let mut idle = self.idle.lock().expect("lock");
        let now = Instant::now();
        idle.retain(|_, list| {
            list.retain(|(c, since)| now - *since < IDLE_TIMEOUT && !c.is_closed());
            !list.is_empty()
        });
        let list = idle.entry(addr.to_string()).or_default();
        if list.len() < self.max_idle_per_host {
            list.push((conn, now));
        }
    }

    async fn connect(&self, addr: &str) -> Result<Conn, CallError> {
        let stream = self.net.connect(addr).await.map_err(|e| CallError::NotSent(e.to_string()))?;
        let (conn, driver) =
            handshake(TokioIo::new(stream)).await.map_err(|e| CallError::NotSent(e.to_string()))?;
        tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(conn)
    }

    /// Sends a request and waits for the whole response, for at most `time_limit`. A timeout closes
    /// the connection, since the late response may still arrive on it.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Option<Vec<u8>>,
        time_limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let deadline = Instant::now() + time_limit;
        let mut conn = match self.take_idle(addr) {
            Some(conn) => conn,
            None => match timeout(time_limit, self.connect(addr)).await {
                Ok(conn) => conn?,
                Err(_) => return Err(CallError::NotSent("connecting timed out".into())),
            },
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr)
            .header("content-type", "application/msgpack")
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let exchange = async {
            let unknown = |e: String| CallError::OutcomeUnknown(e);
            let response = conn.send_request(request).await.map_err(|e| unknown(e.to_string()))?;
            let status = response.status().as_u16();
            let close = response
                .headers()
                .get("connection")
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|e| unknown(e.to_string()))?
                .to_bytes();
            Ok((HttpResponse { status, body }, close))
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Ok(Ok((response, close))) => {
                let ready = timeout(Duration::from_millis(20), conn.ready());
                if !close && matches!(ready.await, Ok(Ok(()))) {
                    self.put_idle(addr, conn);
                }
                Ok(response)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(CallError::OutcomeUnknown("timed out".into())),
        }
    }

    /// Sends `value` as a MessagePack body with POST; see `call`.
    pub async fn post<T: Serialize>(
        &self,
        addr: &str,
        path: &str,
        value: &T,
        time_limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call(Method::POST, addr, path, Some(encode(value)), time_limit).await
    }

    /// Sends a GET request without a body; see `call`.
    pub async fn get(
        &self,
        addr: &str,
        path: &str,
        time_limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call(Method::GET, addr, path, None, time_limit).await
    }
}
