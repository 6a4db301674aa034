//! Guards against a team that multiplies its rate limit by spreading calls over entry hosts.

use std::time::{Duration, Instant};

use bv_lab::{Deployment, HostProcess, HostSpec};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");
const RATE_PER_S: f64 = 20.0;
const HOSTS: usize = 3;
const LOAD_DURATION: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(5);

async fn call_status(addr: std::net::SocketAddr, device: &str) -> String {
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
        &format!("requests_per_s = {RATE_PER_S:.1}"),
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
    // Each host must list the others as members; otherwise each would consider itself the team's
    // owner.
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
    for index in 0.. {
        if start.elapsed() >= LOAD_DURATION {
            break;
        }
        match call_status(hosts[index % HOSTS].spec.caller_addr, &device)
            .await
            .as_str()
        {
            "200" => admitted += 1.0,
            "429" => refused += 1,
            other => panic!("status {other:?}"),
        }
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    // The allowance of one second may be available at the start.
    let limit = RATE_PER_S * (start.elapsed().as_secs_f64() + 1.0);
    assert!(
        admitted <= limit,
        "{admitted} admitted, at most {limit} allowed"
    );
    assert!(
        admitted >= RATE_PER_S * 2.0,
        "{admitted} admitted, {refused} refused"
    );
    assert!(refused > 0);
}
