//! An emulated network between hosts in one process. Each link can be cut separately, in each direction and in each
//! mode.

use copperhaven::net::{Dial, DialFuture, Net};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex};
use tokio::sync::watch;
use tokio::time::sleep;

/// An end of a link. The workers of a zone share their links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// The controller with this index.
    Controller(usize),
    /// The state service.
    State,
    /// The cloud.
    Cloud,
    /// All workers of the zone with this index.
    Workers(usize),
    /// All users.
    Users,
}

/// A fault of a link in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Data arrives only when the link is intact again.
    Hold,
    /// Connections are refused, and open ones end.
    Refuse,
    /// Data arrives this many milliseconds late.
    Slow(u64),
}

/// Latency of an intact link in one direction.
const LATENCY: Duration = Duration::from_millis(1);
/// Interval at which data that is held back looks for the end of the cut.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Signals the end of a process: true once it has ended. Data that it had sent by then still arrives.
pub type ProcessEnd = watch::Sender<bool>;

/// Accepts a connection from a host.
type Accept = Arc<dyn Fn(Host, DuplexStream) + Send + Sync>;

/// The links between all hosts, and who listens at which address.
#[derive(Default)]
pub struct Network {
    /// The faults that are active, by sender and receiver.
    faults: Mutex<BTreeMap<(Host, Host), LinkFault>>,
    /// Who listens at each address.
    listeners: Mutex<BTreeMap<String, (Host, Accept)>>,
    /// The end signal of the current process of each host whose process can end.
    process_ends: Mutex<BTreeMap<Host, Arc<ProcessEnd>>>,
}

impl Network {
    /// Sets the fault of a link in one direction, or lifts it.
    pub fn cut(&self, from: Host, to: Host, mode: Option<LinkFault>) {
        let mut faults = self.faults.lock().expect("lock");
        match mode {
            Some(mode) => faults.insert((from, to), mode),
            None => faults.remove(&(from, to)),
        };
    }

    /// Returns the fault of a link in one direction, if there is one.
    pub fn mode(&self, from: Host, to: Host) -> Option<LinkFault> {
        self.faults.lock().expect("lock").get(&(from, to)).copied()
    }

    /// Listens at an address; a later call for the same address replaces the listener.
    pub fn open(&self, addr: &str, host: Host, accept: Accept) {
        self.listeners.lock().expect("lock").insert(addr.into(), (host, accept));
    }

    /// Waits until something sent now has arrived. Returns false if it was refused.
    pub async fn deliver(&self, from: Host, to: Host) -> bool {
        sleep(LATENCY).await;
        loop {
            match self.mode(from, to) {
                None => return true,
                Some(LinkFault::Refuse) => return false,
                Some(LinkFault::Slow(ms)) => {
                    sleep(Duration::from_millis(ms)).await;
                    return true;
                }
                Some(LinkFault::Hold) => sleep(HOLD_POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the network for a new process of this host, which replaces any earlier one.
    pub fn process_net(self: &Arc<Self>, host: Host) -> Net {
        let end = Arc::new(watch::Sender::new(false));
        self.process_ends.lock().expect("lock").insert(host, end.clone());
        Net::Custom(Arc::new(HostDialer { net: self.clone(), host, end }))
    }

    /// Ends the process of this host: its connections end, and it makes and accepts no more.
    pub fn end(&self, host: Host) {
        if let Some(end) = self.process_ends.lock().expect("lock").get(&host) {
            end.send_replace(true);
        }
    }

    fn process_end(&self, host: Host) -> Option<Arc<ProcessEnd>> {
        self.process_ends.lock().expect("lock").get(&host).cloned()
    }

    /// Copies one direction of a connection, with the faults of the link, until either process or the connection ends.
    async fn copy_direction(
        self: Arc<Self>,
        (from, to): (Host, Host),
        ends: [Option<Arc<ProcessEnd>>; 2],
        mut read: ReadHalf<DuplexStream>,
        mut write: WriteHalf<DuplexStream>,
    ) {
        let mut buffer = vec![0; 32 << 10];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buffer) => n.unwrap_or(0),
                () = self.refused(from, to) => 0,
                () = wait_for_end(&ends[0]) => 0,
                () = wait_for_end(&ends[1]) => 0,
            };
            // A cut in mode `Hold` also holds back the end of a connection.
            let arrived = self.deliver(from, to).await;
            if n == 0 || !arrived || write.write_all(&buffer[..n]).await.is_err() {
                let _ = write.shutdown().await;
                return;
            }
        }
    }

    /// Waits until the link refuses connections in this direction.
    async fn refused(&self, from: Host, to: Host) {
        while self.mode(from, to) != Some(LinkFault::Refuse) {
            sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Waits until the process has ended; for ever for a host without a process that can end.
async fn wait_for_end(end: &Option<Arc<ProcessEnd>>) {
    match end {
        Some(end) => {
            let _ = end.subscribe().wait_for(|ended| *ended).await;
        }
        None => std::future::pending().await,
    }
}

/// Makes connections for one process of a host.
struct HostDialer {
    net: Arc<Network>,
    host: Host,
    end: Arc<ProcessEnd>,
}

impl Dial for HostDialer {
    fn dial(&self, addr: &str) -> DialFuture {
        let (net, from, addr) = (self.net.clone(), self.host, addr.to_string());
        let local_end = self.end.clone();
        Box::pin(async move {
            let refused = || Error::from(ErrorKind::ConnectionRefused);
            let listener = net.listeners.lock().expect("lock").get(&addr).cloned();
            let (to, accept) = listener.ok_or_else(refused)?;
            // A connection takes one round trip before any data can be sent.
            if !net.deliver(from, to).await || !net.deliver(to, from).await {
                return Err(refused());
            }
            let remote_end = net.process_end(to);
            if *local_end.borrow() || remote_end.as_ref().is_some_and(|end| *end.borrow()) {
                return Err(refused());
            }
            let (request_ends, reply_ends) =
                ([Some(local_end.clone()), remote_end.clone()], [remote_end, Some(local_end)]);
            let (local, local_wire) = duplex(64 << 10);
            let (remote_wire, remote) = duplex(64 << 10);
            let ((local_read, local_write), (remote_read, remote_write)) =
                (tokio::io::split(local_wire), tokio::io::split(remote_wire));
            tokio::spawn(net.clone().copy_direction(
                (from, to),
                request_ends,
                local_read,
                remote_write,
            ));
            tokio::spawn(net.copy_direction((to, from), reply_ends, remote_read, local_write));
            accept(from, remote);
            Ok(local)
        })
    }
}
