//! The project's host program, with the settings of a small deployment.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::watchdog;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/camphorloft-host";
/// Time in which a host becomes ready.
const START_TIME: Duration = Duration::from_secs(15);

/// What a settings file states besides the addresses.
#[derive(Clone, Copy)]
pub struct Settings {
    pub zone: &'static str,
    pub region: &'static str,
    pub memory_mb: u32,
    pub max_fds: u32,
}

/// The settings of the small deployments.
pub const SMALL: Settings =
    Settings { zone: "khomas-a", region: "khomas", memory_mb: 110, max_fds: 4100 };

/// A host process, killed when dropped.
pub struct Host {
    child: Child,
    dir: PathBuf,
    pub clients: SocketAddr,
    readiness: SocketAddr,
}

/// Returns the first of some consecutive ports of an address that are free.
fn free_ports(ip: &str, count: u16) -> u16 {
    let is_free =
        |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    (0..200)
        .filter_map(|_| TcpListener::bind((ip, 0)).ok()?.local_addr().ok())
        .map(|addr| addr.port())
        .find(|first| first.checked_add(count).is_some_and(|end| (*first..end).all(is_free)))
        .expect("free ports")
}

impl Host {
    /// Starts a host on a loopback address of its own, and waits until it is ready.
    pub fn start(number: u8, store: SocketAddr, settings: Settings, seeds: &[SocketAddr]) -> Self {
        let ip = format!("127.0.31.{number}");
        let first = free_ports(&ip, 8);
        let addr = |offset: u16| SocketAddr::new(ip.parse().expect("an address"), first + offset);
        let dir = std::env::temp_dir().join(format!("review-3-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder");
        let path = dir.join("local.toml");
        fs::write(&path, settings_text(number, &ip, first, store, settings, seeds))
            .expect("the settings can be written");
        let log = File::create(dir.join("log")).expect("a log file");
        let child = Command::new(Path::new(PROGRAM))
            .env("CAMPHORLOFT_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the host starts");
        watchdog::record_started(child.id());
        let host = Self { child, dir, clients: addr(6), readiness: addr(7) };
        let until = Instant::now() + START_TIME;
        while !host.is_ready() {
            if Instant::now() >= until {
                println!("the host did not become ready");
                drop(host);
                std::process::exit(2);
            }
            sleep(Duration::from_millis(50));
        }
        host
    }

    /// Returns true if the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let probe = || {
            let mut channel = Channel::open(self.readiness).ok()?;
            channel.send(b"GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n").ok()?;
            channel.receive(Instant::now() + Duration::from_secs(1)).ok()
        };
        probe().is_some_and(|response| response.head.status() == 200)
    }

    /// Kills the process, as the platform does when it exceeds its memory.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is a child");
    }

    /// Returns the memory that the process has allocated and uses, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kilobytes << 10)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        watchdog::record_ended(self.child.id());
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn settings_text(
    number: u8,
    ip: &str,
    first: u16,
    store: SocketAddr,
    settings: Settings,
    seeds: &[SocketAddr],
) -> String {
    let Settings { zone, region, memory_mb, max_fds } = settings;
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let (seeds, last) = (seeds.join(","), first + 5);
    let (front, readiness) = (first + 6, first + 7);
    format!(
        r#"node-name = "edge-{zone}-{number}"
role = "host"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port-range = [{first},{last}]
seeds = [{seeds}]
bootstrap = false
loss-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
khomas-a = "khomas"
erongo-a = "erongo"
oshana-a = "oshana"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory_mb}
max-fds = {max_fds}
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 2500
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
max-stretch-ms = 6000
strict-revoke = false
revoke-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-extra = 54
recovery-s = 12
delivery-ms = 300
retry-after-s = 4.3
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
txn-ms = 5.0
partition-writes-s = 200
max-row-bytes = 65536
cross-shard = false
retention-s = 20
max-blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
"#
    )
}
