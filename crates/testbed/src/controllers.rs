//! The controllers of a world: nodes in this process, or processes of their own.

use crate::network::{Host, Network};
use copperhaven::cluster::frames::Op;
use copperhaven::node::Node;
use copperhaven::reply::Reply;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that is being answered; `None`: there is no answer.
pub type Answering = Pin<Box<dyn Future<Output = Option<Reply>> + Send>>;

/// Controllers that run as processes of their own.
pub trait ControllerProcesses: Send + Sync {
    /// Hands a request to a controller, without the emulated network.
    fn handle(&self, controller: usize, op: Op, body: &[u8]) -> Answering;
    /// Returns whether a controller takes requests.
    fn is_ready(&self, controller: usize) -> bool;
    /// Returns a number that differs between a controller's process and the one that replaces it.
    fn incarnation(&self, controller: usize) -> usize;
    /// Ends a controller's process.
    fn end(&self, controller: usize);
    /// Starts a controller again.
    fn restart(&self, net: &Arc<Network>, controller: usize);
    /// Lets a controller stand still for this long.
    fn pause(&self, controller: usize, duration: Duration);
    /// Makes an address of the emulated network reachable for controllers. Returns the address under which it is.
    fn expose(&self, net: &Arc<Network>, addr: &str) -> String;
    /// Returns why a controller ended by itself, if one did.
    fn unexpected_end(&self) -> Option<String>;
}

/// The controllers of a world.
pub enum Controllers {
    /// Nodes in this process, by index; a restart replaces the entry.
    Nodes(Mutex<Vec<Arc<Node>>>),
    /// Processes of their own.
    Processes(Arc<dyn ControllerProcesses>),
}

impl Controllers {
    /// Returns a controller that is a node in this process.
    pub fn node(&self, ix: usize) -> Arc<Node> {
        match self {
            Controllers::Nodes(nodes) => nodes.lock().expect("lock")[ix].clone(),
            Controllers::Processes(_) => panic!("controller {ix} is a process of its own"),
        }
    }

    /// Returns whether a controller takes requests.
    pub fn is_ready(&self, ix: usize) -> bool {
        match self {
            Controllers::Nodes(_) => self.node(ix).is_ready(),
            Controllers::Processes(processes) => processes.is_ready(ix),
        }
    }

    /// Returns a number that differs between a controller's process and the one that replaces it.
    pub fn incarnation(&self, ix: usize) -> usize {
        match self {
            Controllers::Nodes(_) => Arc::as_ptr(&self.node(ix)) as usize,
            Controllers::Processes(processes) => processes.incarnation(ix),
        }
    }

    /// Returns the address at which controllers reach `addr` of the emulated network.
    pub fn expose(&self, net: &Arc<Network>, addr: &str) -> String {
        match self {
            Controllers::Nodes(_) => addr.into(),
            Controllers::Processes(processes) => processes.expose(net, addr),
        }
    }

    /// Ends the process of a controller.
    pub fn end(&self, net: &Network, ix: usize) {
        net.end(Host::Controller(ix));
        if let Controllers::Processes(processes) = self {
            processes.end(ix);
        }
    }
}
