//! Listener for calls of other entry hosts.

use std::sync::Arc;
use std::time::Duration;

use bv_wire::frame::Body;
use bv_wire::{Frame, FrameCodec, Unsupported};
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::link::{self, PeerId, QUEUE_FRAMES};
use super::{PeerCause, answer};
use crate::Host;

/// Time to receive the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of open connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Largest number of calls of one connection in progress; further frames wait in the socket.
const MAX_CALLS: usize = 256;

/// Answers calls of other entry hosts until the process ends.
pub(crate) async fn serve(host: Arc<Host>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                warn!(%err, "peers: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            warn!("peers: too many connections; closing a new one");
            continue;
        };
        let host = host.clone();
        tokio::spawn(async move {
            if let Err(err) = connection(host, stream).await {
                debug!(%err, "peers: connection ended");
            }
            drop(permit);
        });
    }
}

async fn connection(host: Arc<Host>, stream: TcpStream) -> Result<(), PeerCause> {
    link::set_options(&stream)?;
    let mut conn = Framed::new(stream, FrameCodec::default());
    let first = tokio::time::timeout(HELLO_TIMEOUT, conn.next())
        .await
        .map_err(|_| PeerCause::NotAdmitted)?
        .ok_or(PeerCause::Closed)??;
    let peer = link::check_hello(&host.settings, first)?;
    conn.send(link::hello(&host.settings, host.incarnation))
        .await?;
    let (sink, mut stream) = conn.split();
    let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
    let closing = CancellationToken::new();
    let _guard = closing.clone().drop_guard();
    tokio::spawn(link::write(sink, queue, closing.clone()));
    let calls = Arc::new(Semaphore::new(MAX_CALLS));
    loop {
        let frame = tokio::select! {
            frame = stream.next() => frame,
            () = closing.cancelled() => return Err(PeerCause::Closed),
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let frame = frame?;
        let Ok(permit) = calls.clone().acquire_owned().await else {
            return Ok(());
        };
        let (host, peer, frames) = (host.clone(), peer.clone(), frames.clone());
        tokio::spawn(async move {
            reply(&host, &peer, frame, &frames).await;
            drop(permit);
        });
    }
}

async fn reply(host: &Arc<Host>, peer: &PeerId, frame: Frame, frames: &mpsc::Sender<Frame>) {
    let body = match frame.body {
        Some(body) => answer(host, &peer.host, peer.incarnation, body).await,
        // A body that this version does not know decodes as none.
        None => Body::Unsupported(Unsupported {}),
    };
    let frame = Frame {
        id: frame.id,
        body: Some(body),
    };
    // The peer has closed the connection if this fails, and no longer waits.
    let _ = frames.send(frame).await;
}
