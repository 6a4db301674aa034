//! The connection to one peer, shared by concurrent calls.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bv_types::{HostId, Incarnation};
use bv_wire::frame::Body;
use bv_wire::{Frame, FrameCodec, Hello};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{PeerCause, PeerStep};
use crate::Settings;

/// Id of the frames that open a connection.
pub(super) const HELLO_ID: u64 = 0;
/// Frames queued for a connection before further calls wait.
pub(super) const QUEUE_FRAMES: usize = 256;
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a connection whose peer acknowledges nothing is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

pub(super) type Conn = Framed<TcpStream, FrameCodec>;

/// Identity that a peer gave in its hello.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PeerId {
    /// Entry host id.
    pub host: HostId,
    /// Its process.
    pub incarnation: Incarnation,
}

/// Calls in progress, sorted by frame id; `None` once the connection has closed.
type Calls = Option<Vec<(u64, oneshot::Sender<Body>)>>;
type Pending = Mutex<Calls>;

/// An open connection; clones share it, and it closes with the last one.
#[derive(Clone)]
pub(crate) struct Link {
    /// Identity of the peer, from its hello.
    pub peer: PeerId,
    frames: mpsc::Sender<Frame>,
    next_id: Arc<AtomicU64>,
    pending: Arc<Pending>,
    closing: CancellationToken,
    _close_on_drop: Arc<DropGuard>,
}

impl Link {
    /// Opens a connection and exchanges hellos.
    pub async fn open(
        settings: &Settings,
        incarnation: Incarnation,
        addr: SocketAddr,
        step: &mut PeerStep,
    ) -> Result<Self, PeerCause> {
        *step = PeerStep::Connect;
        let socket = match addr {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(ip) = settings.bind_ip {
            socket.bind(SocketAddr::new(ip, 0))?;
        }
        let stream = socket.connect(addr).await?;
        set_options(&stream)?;
        *step = PeerStep::Hello;
        let mut conn = Framed::new(stream, FrameCodec::default());
        conn.send(hello(settings, incarnation)).await?;
        let first = conn.next().await.ok_or(PeerCause::Closed)??;
        let peer = check_hello(settings, first)?;
        Ok(Link::start(peer, conn))
    }

    fn start(peer: PeerId, conn: Conn) -> Self {
        let (sink, stream) = conn.split();
        let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
        let pending = Arc::new(Mutex::new(Some(Vec::new())));
        let closing = CancellationToken::new();
        tokio::spawn(write(sink, queue, closing.clone()));
        tokio::spawn(read(stream, pending.clone(), closing.clone()));
        Link {
            peer,
            frames,
            next_id: Arc::new(AtomicU64::new(HELLO_ID + 1)),
            pending,
            _close_on_drop: Arc::new(closing.clone().drop_guard()),
            closing,
        }
    }

    /// Closes the connection for all its calls.
    pub fn close(&self) {
        self.closing.cancel();
    }

    /// Whether the connection still carries calls.
    pub fn is_open(&self) -> bool {
        !self.frames.is_closed() && lock(&self.pending).is_some()
    }

    /// Sends a call and waits for its answer.
    pub async fn call(&self, body: Body) -> Result<Body, PeerCause> {
        let (tx, rx) = oneshot::channel();
        let call = self.register(tx).ok_or(PeerCause::Closed)?;
        let frame = Frame {
            id: call.id,
            body: Some(body),
        };
        self.frames
            .send(frame)
            .await
            .map_err(|_| PeerCause::Closed)?;
        rx.await.map_err(|_| PeerCause::Closed)
    }

    fn register(&self, tx: oneshot::Sender<Body>) -> Option<Call<'_>> {
        let mut pending = lock(&self.pending);
        let calls = pending.as_mut()?;
        // The id is taken under the lock, so that ids are pushed in ascending order.
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        calls.push((id, tx));
        Some(Call { id, link: self })
    }
}

/// Removes its call from the calls in progress when dropped.
struct Call<'a> {
    id: u64,
    link: &'a Link,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        take(&self.link.pending, self.id);
    }
}

fn lock(pending: &Pending) -> MutexGuard<'_, Calls> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

fn take(pending: &Pending, id: u64) -> Option<oneshot::Sender<Body>> {
    let mut pending = lock(pending);
    let calls = pending.as_mut()?;
    let at = calls.binary_search_by_key(&id, |(id, _)| *id).ok()?;
    Some(calls.remove(at).1)
}

/// Writes queued frames until the connection fails or closes.
pub(super) async fn write(
    mut sink: SplitSink<Conn, Frame>,
    mut queue: mpsc::Receiver<Frame>,
    closing: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            frame = queue.recv() => frame,
            () = closing.cancelled() => None,
        };
        let Some(frame) = frame else {
            break;
        };
        if sink.send(frame).await.is_err() {
            break;
        }
    }
    closing.cancel();
    let _ = sink.close().await;
}

async fn read(mut stream: SplitStream<Conn>, pending: Arc<Pending>, closing: CancellationToken) {
    loop {
        let frame = tokio::select! {
            frame = stream.next() => frame,
            () = closing.cancelled() => break,
        };
        let Some(Ok(Frame { id, body })) = frame else {
            break;
        };
        if let Some(body) = body
            && let Some(tx) = take(&pending, id)
        {
            let _ = tx.send(body);
        }
    }
    closing.cancel();
    // Dropping the senders ends the waiting calls.
    *lock(&pending) = None;
}

pub(super) fn hello(settings: &Settings, incarnation: Incarnation) -> Frame {
    Frame {
        id: HELLO_ID,
        body: Some(Body::Hello(Hello {
            host: settings.host_id.to_string(),
            incarnation: incarnation.0,
            cluster_key: settings.cluster_key.expose().to_owned(),
        })),
    }
}

pub(super) fn check_hello(settings: &Settings, frame: Frame) -> Result<PeerId, PeerCause> {
    let Some(Body::Hello(hello)) = frame.body else {
        return Err(PeerCause::NotAdmitted);
    };
    if !settings.cluster_key.matches(hello.cluster_key.as_bytes()) {
        return Err(PeerCause::NotAdmitted);
    }
    Ok(PeerId {
        host: hello.host.parse()?,
        incarnation: Incarnation(hello.incarnation),
    })
}

pub(super) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
