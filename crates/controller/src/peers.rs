//! Connections to and from the other controllers: one kept link to each, and the answers to theirs.

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

/// Keeps the connection to one peer and asks it twice a second who it is.
async fn keep_link(node: Arc<Node>, link: Arc<PeerLink>) {
    loop {
        if let Ok(Ok(stream)) =
            timeout(Duration::from_millis(1000), node.net.connect(&link.addr)).await
        {
            let (mut read, mut write) = tokio::io::split(stream);
            let (tx, mut rx) = mpsc::channel::<Vec<u8>>(MAX_IN_FLIGHT);
            *link.queue.lock().expect("lock") = Some(tx.clone());
            let reader = async {
                // A silent peer (cut off, or without power) is given up, so that a new
                // connection can take over when it is back.
                while let Ok(Some((h, body))) =
                    timeout(Duration::from_millis(4000), read_frame(&mut read)).await
                {
                    if h.kind != ANSWER {
                        break;
                    }
                    if h.id.get() == 0 {
                        let view = PeerView {
                            last_heard_ms: node.now(),
                            term: h.term.get(),
                            is_leader: h.is_leader == 1,
                            release: h.status.get().max(1),
                            reachable_mask: h.reachable_mask.get(),
                        };
                        let before = link.view().release;
                        *link.view.lock().expect("lock") = view;
                        if before != view.release {
                            node.cluster.log_release(&link.member, view.release);
                        }
                        node.observe_peer(link.member_index, view);
                        if !body.is_empty() {
                            node.merge_peer_connectivity(link.member_index, &body);
                        }
                        continue;
                    }
                    let waiter = link.pending_replies.lock().expect("lock").remove(&h.id.get());
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(Reply {
                            status: h.status.get(),
                            retry_after: h.retry_after.get(),
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
            *link.queue.lock().expect("lock") = None;
            link.pending_replies.lock().expect("lock").clear();
            link.view.lock().expect("lock").last_heard_ms = 0;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Answers on one connection of a peer, or of somebody who wants the metrics.
pub async fn serve_peer(node: Arc<Node>, stream: impl AsyncRead + AsyncWrite + Unpin) {
    let (mut read, mut write) = tokio::io::split(stream);
    // Peers speak frames; whoever begins with an HTTP request wants the metrics.
    let mut first = [0u8; 4];
    if !matches!(timeout(Duration::from_secs(10), read.read_exact(&mut first)).await, Ok(Ok(_))) {
        return;
    }
    let mut read = std::io::Cursor::new(first).chain(read);
    if &first == b"GET " {
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
        while let Ok(Some((h, body))) =
            timeout(Duration::from_secs(10), read_frame(&mut read)).await
        {
            if h.kind == PING {
                let reaches = node.cluster.reachable_mask(node.now());
                let facts = node.encode_connectivity();
                let pong = Header::pong(node.leadership_status(), reaches, facts.len());
                if tx.send(pong.encode_frame(&facts)).await.is_err() {
                    break;
                }
                continue;
            }
            let Some(op) = Op::from_kind(h.kind) else { break };
            let Ok(slot) = slots.clone().try_acquire_owned() else { continue };
            let (node, tx) = (node.clone(), tx.clone());
            tokio::spawn(async move {
                let reply = node.serve_or_forward(op, &body, h.hops).await;
                let mut head = Header::new(ANSWER, h.id.get(), reply.body.len());
                head.status = U16::new(reply.status);
                head.retry_after = U16::new(reply.retry_after);
                let _ = tx.send(head.encode_frame(&reply.body)).await;
                drop(slot);
            });
        }
    };
    tokio::select! { _ = reader => {}, _ = writer => {} }
}

/// Keeps a link to every other controller.
pub fn maintain_links(node: &Arc<Node>) {
    for link in &node.cluster.links {
        tokio::spawn(keep_link(node.clone(), link.clone()));
    }
}

pub async fn run(node: Arc<Node>) -> Result<(), ListenError> {
    let listener = listen(&node.settings.cluster_listen, "cluster_listen", BIND_TIMEOUT).await?;
    // Kept until the process ends: nobody else can have it before.
    node.set_listen_addr(&node.settings.cluster_listen);
    maintain_links(&node);
    let most = Arc::new(Semaphore::new(32));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = most.clone().try_acquire_owned() else { continue };
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        tokio::spawn(async move {
            serve_peer(node, stream).await;
            drop(slot);
        });
    }
}
