//! Taking a port. After an end the kernel may hold the old one for a moment, and a predecessor may still be
//! on its way out: a port that is taken is tried again for some seconds.

use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// How long a port that is taken is tried again.
pub const BIND_TIMEOUT: Duration = Duration::from_secs(8);
const PAUSE: Duration = Duration::from_millis(200);

/// A port that could not be had; names the address and the setting that asks for it.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {addr} (setting `{setting}`): {why}; {mend}")]
pub struct ListenError {
    addr: String,
    setting: &'static str,
    why: std::io::Error,
    mend: &'static str,
}

fn mend(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::AddrInUse => "end the process that has it, or give another port",
        ErrorKind::AddrNotAvailable => "give an address of this machine",
        ErrorKind::PermissionDenied => {
            "give a port above 1023, or run with the right to use this one"
        }
        _ => "give another address",
    }
}

/// Listens on the address of a setting; tries again for `patience` while it is taken.
pub async fn listen(
    addr: &str,
    setting: &'static str,
    patience: Duration,
) -> Result<TcpListener, ListenError> {
    let end = Instant::now() + patience;
    let mut told = false;
    loop {
        let why = match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(why) => why,
        };
        if why.kind() != ErrorKind::AddrInUse || Instant::now() >= end {
            let mend = mend(why.kind());
            return Err(ListenError { addr: addr.into(), setting, why, mend });
        }
        if !told {
            told = true;
            let s = patience.as_secs();
            tracing::warn!("{addr} (setting `{setting}`) is taken: tried again for {s} s");
        }
        sleep(PAUSE).await;
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
    fn a_port_that_gets_free_in_time_is_taken() {
        // Seen once with real processes beside other load: "Address already in use", and the controller
        // ended.
        run(async {
            let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = other.local_addr().expect("bound").to_string();
            tokio::spawn(async move {
                sleep(Duration::from_millis(300)).await;
                drop(other);
            });
            let got = listen(&addr, "front", Duration::from_secs(20)).await.expect("free by now");
            assert_eq!(got.local_addr().expect("bound").to_string(), addr);
        });
    }

    #[test]
    fn what_can_t_be_had_names_address_setting_and_mend() {
        run(async {
            let other = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = other.local_addr().expect("bound").to_string();
            let e = listen(&addr, "cluster_listen", Duration::ZERO).await.expect_err("taken");
            let text = e.to_string();
            for part in [addr.as_str(), "`cluster_listen`", "end the process that has it"] {
                assert!(text.contains(part), "{text}");
            }
            // TEST-NET: no machine has it. Nothing is waited for.
            let begin = Instant::now();
            let e = listen("192.0.2.1:80", "front", BIND_TIMEOUT).await.expect_err("not here");
            assert!(e.to_string().contains("an address of this machine"), "{e}");
            assert!(begin.elapsed() < BIND_TIMEOUT);
        });
    }
}
