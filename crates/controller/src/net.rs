//! Outgoing connections of the controller. In production they are TCP connections. Tests that run several
//! controllers in one process provide a simulated network, whose links can be cut one by one.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;

/// A connection attempt.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<DuplexStream>> + Send>>;

/// A simulated network that replaces TCP.
pub trait Dial: Send + Sync {
    /// Opens a connection to an address.
    fn dial(&self, addr: &str) -> DialFuture;
}

/// The network through which connections are opened.
#[derive(Clone, Default)]
pub enum Net {
    /// TCP of the operating system.
    #[default]
    Tcp,
    /// A simulated network.
    Custom(Arc<dyn Dial>),
}

impl Net {
    /// Opens a connection to an address.
    pub async fn connect(&self, addr: &str) -> io::Result<Stream> {
        match self {
            Net::Tcp => {
                let stream = TcpStream::connect(addr).await?;
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Net::Custom(network) => network.dial(addr).await.map(Stream::Custom),
        }
    }
}

/// An open connection.
pub enum Stream {
    /// A TCP connection.
    Tcp(TcpStream),
    /// A connection in a simulated network.
    Custom(DuplexStream),
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_read(cx, buf),
            Stream::Custom(s) => Pin::new(s).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_write(cx, buf),
            Stream::Custom(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_write_vectored(cx, bufs),
            Stream::Custom(s) => Pin::new(s).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Tcp(s) => s.is_write_vectored(),
            Stream::Custom(s) => s.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_flush(cx),
            Stream::Custom(s) => Pin::new(s).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Custom(s) => Pin::new(s).poll_shutdown(cx),
        }
    }
}
