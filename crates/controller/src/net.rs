//! Where the controller meets the network: connections that it makes. In service they are TCP; tests of
//! several controllers in one process give it a network of their own, whose links can be cut one by one.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::TcpStream;

/// A connection on its way.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<DuplexStream>> + Send>>;

/// A network other than the machine's.
pub trait Dial: Send + Sync {
    fn dial(&self, addr: &str) -> DialFuture;
}

/// How connections are made.
#[derive(Clone, Default)]
pub enum Net {
    #[default]
    Tcp,
    Custom(Arc<dyn Dial>),
}

impl Net {
    pub async fn connect(&self, addr: &str) -> io::Result<Stream> {
        match self {
            Net::Tcp => {
                let stream = TcpStream::connect(addr).await?;
                let _ = stream.set_nodelay(true);
                Ok(Stream::Tcp(stream))
            }
            Net::Custom(net) => net.dial(addr).await.map(Stream::Other),
        }
    }
}

/// A connection.
pub enum Stream {
    Tcp(TcpStream),
    Other(DuplexStream),
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_read(cx, buf),
            Stream::Other(s) => Pin::new(s).poll_read(cx, buf),
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
            Stream::Other(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_write_vectored(cx, bufs),
            Stream::Other(s) => Pin::new(s).poll_write_vectored(cx, bufs),
        }
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Tcp(s) => s.is_write_vectored(),
            Stream::Other(s) => s.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_flush(cx),
            Stream::Other(s) => Pin::new(s).poll_flush(cx),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Stream::Tcp(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Other(s) => Pin::new(s).poll_shutdown(cx),
        }
    }
}
