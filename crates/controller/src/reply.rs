//! Responses to requests of users and workers.

use copperhaven_wire::encode;

/// A response to a user or worker, produced here or by another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Seconds for the Retry-After header; 0 leaves the header out.
    pub retry_after: u16,
    /// MessagePack body.
    pub body: Vec<u8>,
    /// Whether to close the connection, so that the load balancer chooses again for the next attempt:
    /// another controller may be able to answer.
    pub close_connection: bool,
}

impl Reply {
    /// Returns a response with `value` as its body.
    pub fn new<T: serde::Serialize>(status: u16, value: &T) -> Reply {
        Reply { status, retry_after: 0, body: encode(value), close_connection: false }
    }

    /// Returns a response whose body holds `reason` under `error`.
    pub fn error(status: u16, reason: &str) -> Reply {
        let body = std::collections::BTreeMap::from([("error", reason)]);
        Reply { status, retry_after: 0, body: encode(&body), close_connection: false }
    }

    /// Returns a 503 with a Retry-After of `retry_after_s` seconds, for a request that no controller
    /// can answer reliably now.
    pub fn later(reason: &str, retry_after_s: u16) -> Reply {
        Reply { retry_after: retry_after_s, ..Reply::error(503, reason) }
    }
}
