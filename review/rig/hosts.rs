//! Machines of the system: processes of the deploy file's program.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;

use crate::base::{SIGKILL, address, note, send_signal, wait_for};

const PROGRAM: &str = "target/release/camphorloft-host";
const FRONT: u16 = 8740;
const READINESS: u16 = 8749;

/// Processes and folder to clean up.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static DIR: Mutex<Option<PathBuf>> = Mutex::new(None);

pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Ends all processes and removes the temporary folder.
pub fn stop_all() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        send_signal(pid, SIGKILL);
    }
    if let Some(dir) = DIR.lock().unwrap().take() {
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = Command::new("cp").arg("-r").arg(&dir).arg(kept).status();
        }
        let _ = fs::remove_dir_all(dir);
    }
}

impl Machine {
    /// Writes the settings of a machine. `gateway` is the address at which its links to the replicas are
    /// played, if they may be cut.
    pub fn new(
        name: &str,
        last: u8,
        zone: &str,
        store: SocketAddr,
        gateway: Option<Ipv4Addr>,
    ) -> Self {
        let dir = std::env::temp_dir().join(format!("camphorloft-review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        *DIR.lock().unwrap() = Some(dir.clone());
        let ip = address(last);
        let gateway = gateway.map_or(String::new(), |ip| format!("endpoint-gateway = \"{ip}\"\n"));
        let region = zone.trim_end_matches("-a");
        let settings = format!(
            r#"node-name = "{name}"
role = "host"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port-range = [7200,7215]
seeds = []
bootstrap = false
loss-counted = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
{gateway}contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
khomas-a = "khomas"
erongo-a = "erongo"
oshana-a = "oshana"
[listen]
front = "{ip}:{FRONT}"
readiness = "{ip}:{READINESS}"
control = "{ip}:8748"
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
"#
        );
        let path = dir.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let log = dir.join(format!("{name}.log"));
        let machine =
            Self { name: name.to_owned(), ip, settings: path, log, child: Mutex::new(None) };
        for port in [FRONT, READINESS, 7200, 7201] {
            TcpListener::bind((ip, port)).expect("the address is free");
        }
        machine
    }

    pub fn start(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("CAMPHORLOFT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        CHILDREN.lock().unwrap().push(child.id());
        note(&format!("{}: started", self.name));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            note(&format!("{}: signal {signal}", self.name));
            send_signal(child.id(), signal);
        }
    }

    /// Returns true once the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        let Some(running) = child.as_mut() else { return true };
        let ended = running.try_wait().is_ok_and(|status| status.is_some());
        if ended {
            let pid = running.id();
            CHILDREN.lock().unwrap().retain(|known| *known != pid);
            note(&format!("{}: ended", self.name));
            *child = None;
        }
        ended
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.ip, FRONT))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect((self.ip, READINESS)) else { return false };
        let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        let mut buf = [0; 12];
        stream.read_exact(&mut buf).is_ok() && buf.ends_with(b"200")
    }

    pub fn wait_until_ready(&self) -> bool {
        let ready = wait_for(15, || self.is_ready());
        note(&format!("{}: ready {ready}", self.name));
        ready
    }

    /// Returns the number of lines of its log that contain a text.
    pub fn log_count(&self, text: &str) -> usize {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }

    /// Copies the lines of its log that contain one of the texts to the record.
    pub fn note_log(&self, texts: &[&str]) {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().filter(|line| texts.iter().any(|text| line.contains(text))) {
            note(&format!("log of {}: {line}", self.name));
        }
    }
}
