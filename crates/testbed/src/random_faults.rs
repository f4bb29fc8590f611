//! Random faults, the same for the same random numbers.

use crate::faults::Fault::{self, *};
use crate::links::Side;
use crate::network::LinkFault;
use rand::Rng;
use rand::rngs::StdRng;

/// Returns one of the choices.
pub fn pick<T: Copy>(rng: &mut StdRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

/// Returns a random fault.
pub fn random_fault(rng: &mut StdRng) -> Fault {
    let n = rng.random_range(0..3);
    let mode = pick(rng, &[LinkFault::Hold, LinkFault::Refuse]);
    let back = pick(rng, &[50, 300, 8_000, 20_000]);
    let hang = rng.random_range(0..25_000);
    match rng.random_range(0..24) {
        0 | 1 => StateRefused(n),
        2 => Cut(n, Side::State, mode),
        3 => Cut(n, Side::Peers, mode),
        4 => Cut(n, Side::Workers, mode),
        5 => Cut(n, Side::ToWorkers, pick(rng, &[LinkFault::Hold, LinkFault::Slow(3_500)])),
        6 => CutFromPeers(n),
        7 => Down,
        8 => LateTransactions,
        9 | 10 => LostAnswers,
        11 => UnresponsiveZone(n),
        12 => LateReportCopies,
        13 => SilentZone(n),
        14 => Hang(hang),
        15 | 16 => CancelNow(rng.random_range(4..16), hang),
        17 => ReportsKeptForNextLeader,
        18 => IsolatedZone(n, rng.random_range(0..3)),
        19 => CutOff(n),
        20 => Slow(rng.random_range(50..600)),
        21 => AllEnd(back),
        _ => End(back),
    }
}
