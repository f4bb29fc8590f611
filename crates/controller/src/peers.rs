//! Connections between controllers: a permanent link to each peer, and the server for their links.

use crate::cluster::frames::{ANSWER, Header, Op, PING, read_frame};
use crate::cluster::{MAX_IN_FLIGHT, PeerLink, PeerView};
use crate::listen::{BIND_TIMEOUT, ListenError, listen};
use crate::metrics;
use crate::node::Node;
use crate::reply::Reply;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use zerocopy::byteorder::little_endian::U16;

/// Maintains the connection to one peer and pings it twice a second. Its pongs carry its term,
/// release and connectivity. Never returns.
async fn maintain_link(node: Arc<Node>, link: Arc<PeerLink>) {
    loop {
        if let Ok(Ok(stream)) =
            timeout(Duration::from_millis(1000), node.net.connect(&link.addr)).await
        {
            let (mut read, mut write) = tokio::io::split(stream);
            let (tx, mut rx) = mpsc::channel::<Vec<u8>>(MAX_IN_FLIGHT);
            *link.send_queue.lock().expect("lock") = Some(tx.clone());
            let reader = async {
                // The connection to a silent peer (partitioned or powered off) is closed, so that a
                // new one can be opened when the peer is back.
                while let Ok(Some((header, body))) =
                    timeout(Duration::from_millis(4000), read_frame(&mut read)).await
                {
                    if header.kind != ANSWER {
                        break;
                    }
                    if header.id.get() == 0 {
                        let view = PeerView {
                            last_heard_ms: node.now(),
                            term: header.term.get(),
                            is_leader: header.is_leader == 1,
                            release: header.status.get().max(1),
                            reachable_mask: header.reachable_mask.get(),
                        };
                        let previous_release = link.view().release;
                        *link.view.lock().expect("lock") = view;
                        if previous_release != view.release {
                            node.cluster.log_release(&link.member, view.release);
                        }
                        node.observe_peer(link.member_index, view);
                        if !body.is_empty() {
                            node.merge_peer_connectivity(link.member_index, &body);
                        }
                        continue;
                    }
                    let waiter =
                        link.pending_replies.lock().expect("lock").remove(&header.id.get());
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(Reply {
                            status: header.status.get(),
                            retry_after: header.retry_after.get(),
                            body,
                            close_connection: false,
                        });
                    }
                }
            };
            let writer = async {
                while let Some(frame) = rx.recv().await {
                    if write.write_all(&frame).await.is_err() {
                        break;
                    }
                }
            };
            let pinger = async {
                loop {
                    if tx.try_send(Header::new(PING, 0, 0).encode_frame(&[])).is_err() {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(500)).await;
                }
            };
            tokio::select! { _ = reader => {}, _ = writer => {}, _ = pinger => {} }
            *link.send_queue.lock().expect("lock") = None;
            link.pending_replies.lock().expect("lock").clear();
            link.view.lock().expect("lock").last_heard_ms = 0;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Serves one incoming connection: the frames of a peer, or an HTTP request for the metrics.
pub async fn serve_peer(node: Arc<Node>, stream: impl AsyncRead + AsyncWrite + Unpin) {
    let (mut read, mut write) = tokio::io::split(stream);
    // Peers send frames; a connection that begins with an HTTP request is for the metrics.
    let mut first_bytes = [0u8; 4];
    if !matches!(
        timeout(Duration::from_secs(10), read.read_exact(&mut first_bytes)).await,
        Ok(Ok(_))
    ) {
        return;
    }
    let mut read = std::io::Cursor::new(first_bytes).chain(read);
    if &first_bytes == b"GET " {
        let io = tokio::io::join(read, write);
        let _ = timeout(Duration::from_secs(5), metrics::serve(&node, io)).await;
        return;
    }
    let (tx, mut rx) = mpsc::channel::<Vec<u8>>(MAX_IN_FLIGHT);
    let writer = async {
        while let Some(frame) = rx.recv().await {
            if write.write_all(&frame).await.is_err() {
                break;
            }
        }
    };
    let reader = async {
        let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        while let Ok(Some((header, body))) =
            timeout(Duration::from_secs(10), read_frame(&mut read)).await
        {
            if header.kind == PING {
                let reachable_mask = node.cluster.reachable_mask(node.now());
                let connectivity = node.encode_connectivity();
                let pong =
                    Header::pong(node.leadership_status(), reachable_mask, connectivity.len());
                if tx.send(pong.encode_frame(&connectivity)).await.is_err() {
                    break;
                }
                continue;
            }
            let Some(op) = Op::from_kind(header.kind) else { break };
            let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
            let (node, tx) = (node.clone(), tx.clone());
            tokio::spawn(async move {
                let reply = node.serve_or_forward(op, &body, header.hops).await;
                let mut reply_header = Header::new(ANSWER, header.id.get(), reply.body.len());
                reply_header.status = U16::new(reply.status);
                reply_header.retry_after = U16::new(reply.retry_after);
                let _ = tx.send(reply_header.encode_frame(&reply.body)).await;
                drop(slot);
            });
        }
    };
    tokio::select! { _ = reader => {}, _ = writer => {} }
}

/// Starts one task for each other controller that maintains the link to it.
pub fn maintain_links(node: &Arc<Node>) {
    for link in &node.cluster.links {
        tokio::spawn(maintain_link(node.clone(), link.clone()));
    }
}

/// Listens on `cluster_listen` and serves up to 32 connections at a time. Returns only when the
/// address cannot be bound.
pub async fn run(node: Arc<Node>) -> Result<(), ListenError> {
    let listener = listen(&node.settings.cluster_listen, "cluster_listen", BIND_TIMEOUT).await?;
    // The address stays bound until the process ends, so no other process can listen on it before.
    node.set_listen_addr(&node.settings.cluster_listen);
    maintain_links(&node);
    let connection_slots = Arc::new(Semaphore::new(32));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = connection_slots.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        tokio::spawn(async move {
            serve_peer(node, stream).await;
            drop(slot);
        });
    }
}
