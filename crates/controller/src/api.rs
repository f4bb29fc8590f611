//! HTTP API for users, workers and health checks.

use crate::cluster::frames::Op;
use crate::listen::{BIND_TIMEOUT, ListenError, listen};
use crate::node::Node;
use crate::reply::Reply;
use copperhaven_wire::limits::MAX_BODY_BYTES;
use poem::http::StatusCode;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{Data, LocalAddr, Path, RemoteAddr};
use poem::{Body, Endpoint, EndpointExt, Response, Route, Server, get, handler, post};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Time limit for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

fn respond(reply: Reply) -> Response {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut r = Response::builder().status(status).content_type("application/msgpack");
    if reply.retry_after > 0 {
        r = r.header("retry-after", reply.retry_after);
    }
    if reply.close_connection {
        r = r.header("connection", "close");
    }
    r.body(reply.body)
}

/// Reads a body; `None` if it is too long, too slow or incomplete.
async fn read_body(body: Body) -> Option<Vec<u8>> {
    let body = tokio::time::timeout(BODY_TIMEOUT, body.into_bytes_limit(MAX_BODY_BYTES));
    body.await.ok()?.ok().map(|b| b.to_vec())
}

#[handler]
async fn submit(node: Data<&Arc<Node>>, body: Body) -> Response {
    respond(match read_body(body).await {
        Some(body) => node.handle_request(Op::Submit, &body).await,
        None => Reply::error(400, "the body is longer than 64 KiB or broke off"),
    })
}

#[handler]
async fn show(node: Data<&Arc<Node>>, Path(id): Path<String>) -> Response {
    respond(node.handle_request(Op::Show, id.as_bytes()).await)
}

#[handler]
async fn cancel(node: Data<&Arc<Node>>, Path(id): Path<String>) -> Response {
    respond(node.handle_request(Op::Cancel, id.as_bytes()).await)
}

#[handler]
async fn report(node: Data<&Arc<Node>>, body: Body) -> Response {
    respond(match read_body(body).await {
        Some(body) => node.handle_request(Op::Report, &body).await,
        None => Reply::error(400, "the body is longer than 64 KiB or broke off"),
    })
}

#[handler]
fn up(node: Data<&Arc<Node>>) -> Response {
    if node.is_ready() {
        Response::builder().status(StatusCode::OK).finish()
    } else {
        respond(Reply::later("no leader within reach", 1))
    }
}

/// An acceptor with a limit of open connections. One above the limit is closed at once, which
/// tells the load balancer to try another controller.
struct LimitedAcceptor {
    inner: TcpAcceptor,
    slots: Arc<Semaphore>,
}

/// A connection that occupies a slot of the limit until it is dropped.
struct LimitedStream<S> {
    io: S,
    _slot: OwnedSemaphorePermit,
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = LimitedStream<tokio::net::TcpStream>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> std::io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        loop {
            let (io, local, remote, scheme) = self.inner.accept().await?;
            if let Ok(slot) = self.slots.clone().try_acquire_owned() {
                let _ = io.set_nodelay(true);
                return Ok((LimitedStream { io, _slot: slot }, local, remote, scheme));
            }
        }
    }
}

/// Error that keeps the API from being served.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The address can't be bound.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The server failed.
    #[error("serving users: {0}")]
    Io(#[from] std::io::Error),
}

/// Returns the routes of the API, independent of how connections are accepted.
pub fn routes(node: Arc<Node>) -> impl Endpoint<Output = Response> {
    Route::new()
        .at("/api/jobs", post(submit))
        .at("/api/jobs/:id", get(show))
        .at("/api/jobs/:id/cancel", post(cancel))
        .at("/v1/report", post(report))
        .at("/up", get(up))
        .data(node)
        .map_to_response()
}

/// Serves the API on the configured address until the server fails.
pub async fn run(node: Arc<Node>) -> Result<(), ApiError> {
    let listener = listen(&node.settings.api_listen, "front", BIND_TIMEOUT).await?;
    let inner = TcpAcceptor::from_tokio(listener)?;
    // A quarter of the sockets is left for the state service, the cloud, the workers and the peers.
    let max_connections = node.settings.deployment.limits.max_connections;
    let slots = Arc::new(Semaphore::new((max_connections * 3 / 4).max(1)));
    Server::new_with_acceptor(LimitedAcceptor { inner, slots })
        .idle_timeout(IDLE_TIMEOUT)
        .run(routes(node))
        .await?;
    Ok(())
}
