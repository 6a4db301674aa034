//! Guards against a team that multiplies its rate limit by spreading calls over entry hosts.

use std::time::{Duration, Instant};

use bv_lab::{Deployment, HostProcess, HostSpec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");
const RATE: f64 = 20.0;
const HOSTS: usize = 3;
const LENGTH: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(5);

async fn status(addr: std::net::SocketAddr, device: &str) -> String {
    let request = format!(
        "GET /booking/seats HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         x-forwarded-for: {device}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn spread_calls() {
    let text = INVENTORY.replace(
        "requests_per_s = 200.0",
        &format!("requests_per_s = {RATE:.1}"),
    );
    let deployment = Deployment::start(&text).await.unwrap();
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for index in 0..HOSTS {
        let mut spec = HostSpec::new(index, &deployment, "planned").await.unwrap();
        spec.seeds = seeds.clone();
        seeds.push(spec.peer_addr);
        hosts.push(HostProcess::start(spec).unwrap());
    }
    for host in &hosts {
        host.wait_ready().await.unwrap();
    }
    // The hosts must know each other, or each would take itself for the team's home.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let limited = deployment
        .inventory
        .devices
        .iter()
        .find(|d| d.team.as_str() == "office");
    let device = limited.unwrap().id.clone();
    let start = Instant::now();
    let mut admitted = 0.0;
    let mut refused = 0;
    for turn in 0.. {
        if start.elapsed() >= LENGTH {
            break;
        }
        match status(hosts[turn % HOSTS].spec.caller_addr, &device)
            .await
            .as_str()
        {
            "200" => admitted += 1.0,
            "429" => refused += 1,
            other => panic!("status {other:?}"),
        }
        tokio::time::sleep(PAUSE).await;
    }
    // One second's worth may be saved up at the start.
    let most = RATE * (start.elapsed().as_secs_f64() + 1.0);
    assert!(admitted <= most, "{admitted} of at most {most}");
    assert!(
        admitted >= RATE * 2.0,
        "{admitted} admitted, {refused} refused"
    );
    assert!(refused > 0);
}
