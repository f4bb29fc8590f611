//! Gateways between real sockets and the emulated network: what a controller sends passes through it, with the faults of
//! its links.

use copperhaven::net::Net;
use copperhaven_testbed::network::{Host, Network};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

/// The emulated network as one controller's current process reaches it.
pub(crate) type SharedNet = Arc<Mutex<Net>>;

/// Listens on a free port of `host`, and passes what arrives on to `addr` of the emulated network. Returns the address.
pub(crate) fn open(host: &str, net: SharedNet, addr: &str) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((host, 0))?;
    listener.set_nonblocking(true)?;
    let local = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let addr = addr.to_string();
    tokio::spawn(async move {
        loop {
            let Ok((mut socket, _)) = listener.accept().await else { continue };
            let (net, addr) = (net.lock().expect("lock").clone(), addr.clone());
            let _ = socket.set_nodelay(true);
            tokio::spawn(async move {
                if let Ok(mut emulated) = net.connect(&addr).await {
                    let _ = copy_bidirectional(&mut socket, &mut emulated).await;
                }
            });
        }
    });
    Ok(local)
}

/// Lets a controller be reached at `addr` of the emulated network, where it listens at `real`.
pub(crate) fn publish(net: &Arc<Network>, addr: &str, host: Host, real: SocketAddr) {
    let accept = move |_, mut emulated| {
        tokio::spawn(async move {
            if let Ok(mut socket) = TcpStream::connect(real).await {
                let _ = socket.set_nodelay(true);
                let _ = copy_bidirectional(&mut emulated, &mut socket).await;
            }
        });
    };
    net.open(addr, host, Arc::new(accept));
}
