//! The door for users, workers and health checks.

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

const BODY_LIMIT: Duration = Duration::from_secs(10);
const IDLE_LIMIT: Duration = Duration::from_secs(120);

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

async fn read(body: Body) -> Option<Vec<u8>> {
    let body = tokio::time::timeout(BODY_LIMIT, body.into_bytes_limit(MAX_BODY_BYTES));
    body.await.ok()?.ok().map(|b| b.to_vec())
}

#[handler]
async fn submit(node: Data<&Arc<Node>>, body: Body) -> Response {
    respond(match read(body).await {
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
    respond(match read(body).await {
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

/// A listener that holds at most so many connections; one more is closed at once, which tells
/// the load balancer to try another node.
struct Bounded {
    inner: TcpAcceptor,
    slots: Arc<Semaphore>,
}

struct Held<S> {
    io: S,
    _slot: OwnedSemaphorePermit,
}

impl<S: AsyncRead + Unpin> AsyncRead for Held<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Held<S> {
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

impl Acceptor for Bounded {
    type Io = Held<tokio::net::TcpStream>;

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
                return Ok((Held { io, _slot: slot }, local, remote, scheme));
            }
        }
    }
}

/// Why the doors are not open (any more).
#[derive(Debug, thiserror::Error)]
pub enum DoorError {
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("serving users: {0}")]
    Io(#[from] std::io::Error),
}

/// What is served at the door, whatever the connections.
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

pub async fn run(node: Arc<Node>) -> Result<(), DoorError> {
    let inner = listen(&node.settings.api_listen, "front", BIND_TIMEOUT).await?;
    let inner = TcpAcceptor::from_tokio(inner)?;
    // Some sockets are left for the state service, the cloud, the workers and the peers.
    let most = node.settings.deployment.limits.max_connections;
    let slots = Arc::new(Semaphore::new((most * 3 / 4).max(1)));
    Server::new_with_acceptor(Bounded { inner, slots })
        .idle_timeout(IDLE_LIMIT)
        .run(routes(node))
        .await?;
    Ok(())
}
