//! Record file, verdicts, addresses and small helpers.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

static RECORD: Mutex<Option<File>> = Mutex::new(None);
static START: OnceLock<Instant> = OnceLock::new();

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

pub fn open_record(path: &str) {
    START.get_or_init(Instant::now);
    let file = File::create(path).expect("the record can be written");
    *RECORD.lock().unwrap() = Some(file);
}

/// Writes a line with the time in seconds since the start.
pub fn note(text: &str) {
    let at = START.get_or_init(Instant::now).elapsed().as_secs_f64();
    if let Some(file) = &mut *RECORD.lock().unwrap() {
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

pub fn finish(verdict: Verdict) -> ! {
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::CannotRun(why) => (2, format!("the case could not run: {why}")),
    };
    note(&text);
    println!("{text}");
    std::process::exit(code);
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Returns a loopback address of this run.
pub fn address(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 60 + (id % 90) as u8, 1 + ((id / 90) % 250) as u8, last)
}

/// Waits until a condition holds. Returns false after `seconds`.
pub fn wait_for<F: Fn() -> bool>(seconds: u64, condition: F) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep_ms(50);
    }
    false
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, addr: *const u8, len: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// Makes a connection end with a reset when it is dropped.
pub fn reset_on_drop(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1_i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

/// Connects with a receive buffer of a given size.
pub fn connect_with_window(to: SocketAddr, bytes: i32) -> TcpStream {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = to else { panic!("an IPv4 address") };
    // A `sockaddr_in`: family, port and address, the last two in network order.
    let mut addr = [0_u8; 16];
    addr[..2].copy_from_slice(&2_u16.to_ne_bytes());
    addr[2..4].copy_from_slice(&to.port().to_be_bytes());
    addr[4..8].copy_from_slice(&to.ip().octets());
    unsafe {
        let fd = socket(2, 1, 0);
        if bytes > 0 {
            setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        }
        assert_eq!(connect(fd, addr.as_ptr(), 16), 0, "the machine takes channels");
        TcpStream::from_raw_fd(fd)
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for part in 0..4 {
            match part <= chunk.len() {
                true => out.push(ALPHABET[(group >> (18 - 6 * part) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
