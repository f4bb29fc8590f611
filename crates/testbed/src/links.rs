//! The links of a controller to what it talks to, and cuts of them.

use crate::network::{Host, LinkFault, Network};
use crate::world::World;

/// The links of a controller that are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The state service.
    State,
    /// The workers, in both directions.
    Workers,
    /// The other controllers.
    Peers,
    /// The cloud.
    Cloud,
    /// The users.
    Users,
    /// Only from the controller to its workers.
    ToWorkers,
    /// Only from the workers to the controller.
    FromWorkers,
}

/// Cuts these links of a controller, or makes them whole again without a mode.
pub fn set_links(world: &World, controller: usize, side: Side, mode: Option<LinkFault>) {
    let (net, host) = (&world.net, Host::Controller(controller));
    let zones = 0..world.zones.len();
    match side {
        Side::State => cut_both_ways(net, host, Host::State, mode),
        Side::Cloud => cut_both_ways(net, host, Host::Cloud, mode),
        Side::Users => cut_both_ways(net, host, Host::Users, mode),
        Side::Workers => zones.for_each(|zone| cut_both_ways(net, host, Host::Workers(zone), mode)),
        Side::ToWorkers => zones.for_each(|zone| net.cut(host, Host::Workers(zone), mode)),
        Side::FromWorkers => zones.for_each(|zone| net.cut(Host::Workers(zone), host, mode)),
        Side::Peers => (0..world.count()).filter(|peer| *peer != controller).for_each(|peer| {
            cut_both_ways(net, host, Host::Controller(peer), mode);
        }),
    }
}

/// Sets or lifts a cut of the links between two hosts in both directions.
pub fn cut_both_ways(net: &Network, a: Host, b: Host, mode: Option<LinkFault>) {
    net.cut(a, b, mode);
    net.cut(b, a, mode);
}
