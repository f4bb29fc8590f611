//! A network between hosts in one process: each link, in each direction, can be cut in its own way.

use copperhaven::net::{Dial, DialFuture, Net};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex};
use tokio::sync::watch;
use tokio::time::sleep;

/// Where something runs. Workers of a zone share their links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Controller(usize),
    State,
    Cloud,
    Workers(usize),
    Users,
}

/// What a link does in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// What is sent arrives when the link is whole again.
    Hold,
    /// Connections are refused, open ones end.
    Refuse,
    /// What is sent arrives so many milliseconds late.
    Slow(u64),
}

const LATENCY: Duration = Duration::from_millis(1);
const LOOK: Duration = Duration::from_millis(20);

/// The life of a process: over once it has ended. What it had sent by then still arrives.
pub type Life = watch::Sender<bool>;

/// Takes a connection from this host.
type Accept = Arc<dyn Fn(Host, DuplexStream) + Send + Sync>;

#[derive(Default)]
pub struct Network {
    cuts: Mutex<BTreeMap<(Host, Host), Mode>>,
    /// Who answers at an address.
    doors: Mutex<BTreeMap<String, (Host, Accept)>>,
    /// The process that runs at a host, where that may end.
    lives: Mutex<BTreeMap<Host, Arc<Life>>>,
}

impl Network {
    pub fn cut(&self, from: Host, to: Host, mode: Option<Mode>) {
        let mut cuts = self.cuts.lock().expect("lock");
        match mode {
            Some(mode) => cuts.insert((from, to), mode),
            None => cuts.remove(&(from, to)),
        };
    }

    pub fn mode(&self, from: Host, to: Host) -> Option<Mode> {
        self.cuts.lock().expect("lock").get(&(from, to)).copied()
    }

    pub fn open(&self, addr: &str, host: Host, accept: Accept) {
        self.doors.lock().expect("lock").insert(addr.into(), (host, accept));
    }

    /// Something is on its way: returns once it has arrived. False: refused.
    pub async fn pass(&self, from: Host, to: Host) -> bool {
        sleep(LATENCY).await;
        loop {
            match self.mode(from, to) {
                None => return true,
                Some(Mode::Refuse) => return false,
                Some(Mode::Slow(ms)) => {
                    sleep(Duration::from_millis(ms)).await;
                    return true;
                }
                Some(Mode::Hold) => sleep(LOOK).await,
            }
        }
    }

    /// The network as a new process of this host sees it, in place of any that was there.
    pub fn at(self: &Arc<Self>, host: Host) -> Net {
        let life = Arc::new(watch::Sender::new(false));
        self.lives.lock().expect("lock").insert(host, life.clone());
        Net::Custom(Arc::new(Seen { net: self.clone(), host, life }))
    }

    /// The process at this host ends: its connections do, and none is made any more.
    pub fn end(&self, host: Host) {
        if let Some(life) = self.lives.lock().expect("lock").get(&host) {
            life.send_replace(true);
        }
    }

    fn life(&self, host: Host) -> Option<Arc<Life>> {
        self.lives.lock().expect("lock").get(&host).cloned()
    }

    async fn pump(
        self: Arc<Self>,
        (from, to): (Host, Host),
        lives: [Option<Arc<Life>>; 2],
        mut read: ReadHalf<DuplexStream>,
        mut write: WriteHalf<DuplexStream>,
    ) {
        let mut buffer = vec![0; 32 << 10];
        loop {
            let n = tokio::select! {
                n = read.read(&mut buffer) => n.unwrap_or(0),
                () = self.refused(from, to) => 0,
                () = over(&lives[0]) => 0,
                () = over(&lives[1]) => 0,
            };
            // The end of a connection is held like anything else.
            let arrived = self.pass(from, to).await;
            if n == 0 || !arrived || write.write_all(&buffer[..n]).await.is_err() {
                let _ = write.shutdown().await;
                return;
            }
        }
    }

    async fn refused(&self, from: Host, to: Host) {
        while self.mode(from, to) != Some(Mode::Refuse) {
            sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Returns once the process has ended; never where none can.
async fn over(life: &Option<Arc<Life>>) {
    match life {
        Some(life) => {
            let _ = life.subscribe().wait_for(|over| *over).await;
        }
        None => std::future::pending().await,
    }
}

struct Seen {
    net: Arc<Network>,
    host: Host,
    life: Arc<Life>,
}

impl Dial for Seen {
    fn dial(&self, addr: &str) -> DialFuture {
        let (net, from, addr) = (self.net.clone(), self.host, addr.to_string());
        let own = self.life.clone();
        Box::pin(async move {
            let refused = || Error::from(ErrorKind::ConnectionRefused);
            let door = net.doors.lock().expect("lock").get(&addr).cloned();
            let (to, accept) = door.ok_or_else(refused)?;
            // There and back, before anything can be sent.
            if !net.pass(from, to).await || !net.pass(to, from).await {
                return Err(refused());
            }
            let other = net.life(to);
            if *own.borrow() || other.as_ref().is_some_and(|life| *life.borrow()) {
                return Err(refused());
            }
            let (here, there) = ([Some(own.clone()), other.clone()], [other, Some(own)]);
            let (near, a) = duplex(64 << 10);
            let (b, far) = duplex(64 << 10);
            let ((ra, wa), (rb, wb)) = (tokio::io::split(a), tokio::io::split(b));
            tokio::spawn(net.clone().pump((from, to), here, ra, wb));
            tokio::spawn(net.pump((to, from), there, rb, wa));
            accept(from, far);
            Ok(near)
        })
    }
}
