//! A small HTTP/1.1 client for MessagePack bodies: a few kept connections for each address, a
//! time limit on every call, and a bound on what an answer may hold.

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

/// Why a call got no answer. `Refused` is certain not to have been executed; `Lost` may have
/// been, or may still be.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    #[error("not sent: {0}")]
    NotSent(String),
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

#[derive(Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub body: Bytes,
}

impl HttpResponse {
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        match rmp_serde::from_slice(&self.body) {
            Ok(v) => Some(v),
            Err(e) => {
                tracing::warn!("malformed answer taken as none: {e}");
                None
            }
        }
    }
}

type Conn = SendRequest<Full<Bytes>>;
const IDLE: Duration = Duration::from_secs(20);
const MOST: usize = 16 << 20;

#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<String, Vec<(Conn, Instant)>>>,
    per_host: usize,
    net: Net,
}

impl Client {
    pub fn new(per_host: usize) -> Self {
        Client::with_net(Net::Tcp, per_host)
    }

    /// A client whose connections are made in this network.
    pub fn with_net(net: Net, per_host: usize) -> Self {
        Client { idle: Mutex::default(), per_host, net }
    }

    fn pooled(&self, addr: &str) -> Option<Conn> {
        let mut idle = self.idle.lock().expect("lock");
        let list = idle.get_mut(addr)?;
        while let Some((conn, since)) = list.pop() {
            if since.elapsed() < IDLE && conn.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, addr: &str, conn: Conn) {
        let mut idle = self.idle.lock().expect("lock");
        let now = Instant::now();
        idle.retain(|_, list| {
            list.retain(|(c, since)| now - *since < IDLE && !c.is_closed());
            !list.is_empty()
        });
        let list = idle.entry(addr.to_string()).or_default();
        if list.len() < self.per_host {
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

    /// One call. A time-out drops its connection, since its answer may still arrive there.
    pub async fn call(
        &self,
        method: Method,
        addr: &str,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let end = Instant::now() + limit;
        let mut conn = match self.pooled(addr) {
            Some(conn) => conn,
            None => match timeout(limit, self.connect(addr)).await {
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
            let lost = |e: String| CallError::OutcomeUnknown(e);
            let response = conn.send_request(request).await.map_err(|e| lost(e.to_string()))?;
            let status = response.status().as_u16();
            let close = response
                .headers()
                .get("connection")
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
            let body = Limited::new(response.into_body(), MOST)
                .collect()
                .await
                .map_err(|e| lost(e.to_string()))?
                .to_bytes();
            Ok((HttpResponse { status, body }, close))
        };
        match tokio::time::timeout_at(end, exchange).await {
            Ok(Ok((answer, close))) => {
                let ready = timeout(Duration::from_millis(20), conn.ready());
                if !close && matches!(ready.await, Ok(Ok(()))) {
                    self.keep(addr, conn);
                }
                Ok(answer)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(CallError::OutcomeUnknown("timed out".into())),
        }
    }

    pub async fn post<T: Serialize>(
        &self,
        addr: &str,
        path: &str,
        value: &T,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call(Method::POST, addr, path, Some(encode(value)), limit).await
    }

    pub async fn get(
        &self,
        addr: &str,
        path: &str,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        self.call(Method::GET, addr, path, None, limit).await
    }
}
