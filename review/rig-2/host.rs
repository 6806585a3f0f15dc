//! Starts an entry host as a process of its own, with a settings file as on the users' platform.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;
pub const STOP: i32 = 19;
pub const CONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Host {
    pub front: SocketAddr,
    readiness: SocketAddr,
    child: Child,
    dir: PathBuf,
    pub started_at: Instant,
}

/// Returns addresses of `count` consecutive free ports.
fn free_ports(count: u16) -> u16 {
    loop {
        let probe = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let first = probe.local_addr().expect("an address").port();
        drop(probe);
        if first > u16::MAX - count {
            continue;
        }
        let held: Vec<_> =
            (first..first + count).map(|port| TcpListener::bind(("127.0.0.1", port))).collect();
        let udp = std::net::UdpSocket::bind(("127.0.0.1", first));
        if held.iter().all(Result::is_ok) && udp.is_ok() {
            return first;
        }
    }
}

fn spawn(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new("target/release/camphorloft-host")
        .env_clear()
        .env("CAMPHORLOFT_BOOT", settings)
        .stdout(Stdio::from(log))
        .stderr(Stdio::inherit())
        .spawn()
}

impl Host {
    /// Starts the program of the deploy file with the settings of a machine of `kpc-depbot`.
    pub fn start(store: SocketAddr, log: &Path) -> io::Result<Self> {
        let first = free_ports(5);
        let addr = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first + offset));
        let (front, readiness, control) = (addr(2), addr(3), addr(4));
        let dir = std::env::temp_dir().join(format!("review-2-{}-{first}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let settings = dir.join("local.toml");
        let text = format!(
            r#"node-name = "edge-khomas-a-1"
role = "host"
machine-class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "khomas-a"
region = "khomas"
port-range = [{first},{}]
seeds = []
bootstrap = true
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
front = "{front}"
readiness = "{readiness}"
control = "{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 110
max-fds = 4100
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
"#,
            first + 1
        );
        fs::write(&settings, text)?;
        let child = spawn(&settings, log)?;
        Ok(Self { front, readiness, child, dir, started_at: Instant::now() })
    }

    /// Starts the program again, as the platform does when a process has ended.
    pub fn restart(&mut self, log: &Path) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.dir.join("local.toml"), log)?;
        Ok(())
    }

    /// Returns the memory that the process has allocated and uses, in bytes.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        Some(line.split_whitespace().next()?.parse::<u64>().ok()? << 10)
    }

    /// Waits until the host says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().unwrap_or(false) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut connection = Connection::new(TcpStream::connect(self.readiness)?);
        connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        io::Write::write_all(
            &mut connection.stream,
            b"GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n",
        )?;
        Ok(connection.head()?.word(1) == "200")
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
