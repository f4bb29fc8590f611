//! Listening on a configured address. After a restart the kernel may hold the port for a moment, or the
//! previous process may still be shutting down, so a port in use is retried for some seconds.

use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Time for which a port in use is retried.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// An address that could not be bound, with the setting that names it and a hint how to fix it.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} (setting `{setting}`): {error}; {hint}")]
pub struct ListenError {
    addr: String,
    setting: &'static str,
    error: std::io::Error,
    hint: &'static str,
}

fn fix_hint(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::AddrInUse => "end the process that has it, or give another port",
        ErrorKind::AddrNotAvailable => "give an address of this machine",
        ErrorKind::PermissionDenied => {
            "give a port above 1023, or run with the right to use this one"
        }
        _ => "give another address",
    }
}

/// Listens on the address of a setting; while it is in use, retries for up to `retry_for`.
pub async fn listen(
    addr: &str,
    setting: &'static str,
    retry_for: Duration,
) -> Result<TcpListener, ListenError> {
    let deadline = Instant::now() + retry_for;
    let mut logged = false;
    loop {
        let error = match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        if error.kind() != ErrorKind::AddrInUse || Instant::now() >= deadline {
            let hint = fix_hint(error.kind());
            return Err(ListenError { addr: addr.into(), setting, error, hint });
        }
        if !logged {
            logged = true;
            let s = retry_for.as_secs();
            tracing::warn!("{addr} (setting `{setting}`) is in use; retrying for {s} s");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run<F: Future>(f: F) -> F::Output {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(f)
    }

    #[test]
    fn a_port_that_becomes_free_in_time_is_bound() {
        // On a loaded machine a controller process once exited with "Address already in use".
        run(async {
            let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = other.local_addr().expect("bound").to_string();
            tokio::spawn(async move {
                sleep(Duration::from_millis(300)).await;
                drop(other);
            });
            let listener =
                listen(&addr, "front", Duration::from_secs(20)).await.expect("free by now");
            assert_eq!(listener.local_addr().expect("bound").to_string(), addr);
        });
    }

    #[test]
    fn bind_errors_name_address_setting_and_fix() {
        run(async {
            let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = other.local_addr().expect("bound").to_string();
            let e = listen(&addr, "cluster_listen", Duration::ZERO).await.expect_err("taken");
            let text = e.to_string();
            for part in [addr.as_str(), "`cluster_listen`", "end the process that has it"] {
                assert!(text.contains(part), "{text}");
            }
            // No machine has an address of TEST-NET, so this fails without retries.
            let begin = Instant::now();
            let e = listen("192.0.2.1:80", "front", BIND_TIMEOUT).await.expect_err("not here");
            assert!(e.to_string().contains("an address of this machine"), "{e}");
            assert!(begin.elapsed() < BIND_TIMEOUT);
        });
    }
}
