//! What a request is answered with.

use copperhaven_wire::encode;

/// An answer to a user or worker, wherever it came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub retry_after: u16,
    pub body: Vec<u8>,
    /// Another controller may know more: the connection is closed, so that the next try is
    /// balanced anew.
    pub close_connection: bool,
}

impl Reply {
    pub fn new<T: serde::Serialize>(status: u16, value: &T) -> Reply {
        Reply { status, retry_after: 0, body: encode(value), close_connection: false }
    }

    pub fn error(status: u16, why: &str) -> Reply {
        let body = std::collections::BTreeMap::from([("error", why)]);
        Reply { status, retry_after: 0, body: encode(&body), close_connection: false }
    }

    /// Nobody can answer truthfully now: come back in `s` seconds.
    pub fn later(why: &str, s: u16) -> Reply {
        Reply { retry_after: s, ..Reply::error(503, why) }
    }
}
