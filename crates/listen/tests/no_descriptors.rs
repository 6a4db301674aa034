//! A listener that is closed while the process has no free file descriptor.

use std::fs::File;
use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpListener;

/// Longer than the time for handshakes.
const BUSY_TIME: Duration = Duration::from_millis(400);
const MAX_FILES: u64 = 256;

/// Guards against connections that are reset because no descriptor is free when the listener is
/// closed.
#[tokio::test]
async fn connection_is_passed_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let maximum = getrlimit(Resource::Nofile).maximum;
    let current = Some(MAX_FILES);
    setrlimit(Resource::Nofile, Rlimit { current, maximum }).unwrap();
    let mut files = Vec::new();
    while let Ok(file) = File::open("/dev/null") {
        files.push(file);
    }
    let freeing = std::thread::spawn(move || {
        std::thread::sleep(BUSY_TIME);
        drop(files);
    });
    let mut passed = Vec::new();
    let closed = bv_listen::close(listener, |stream, _| passed.push(stream)).await;
    freeing.join().unwrap();
    assert!(closed.is_ok(), "{closed:?}");
    assert_eq!(passed.len(), 1);
    drop(passed);
    assert_eq!(caller.read(&mut [0]).unwrap(), 0);
}
