//! Crowds of clients that misbehave, and what a process under such a load uses.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes that a member of a crowd sends at a time.
pub const PIECE_BYTES: usize = 16 * 1024;

/// Rounds without progress, at 10 ms each, after which a crowd stops to send: the process does not read on.
const IDLE_ROUNDS: usize = 100;

/// Returns a permit for a test that measures memory; such tests of a process run one at a time.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection of a crowd that sends without waiting.
pub struct CrowdMember {
    stream: TcpStream,
    output: Arc<[u8]>,
    sent: usize,
    closed: bool,
    reads: bool,
}

impl CrowdMember {
    /// Sends up to `limit` bytes more and reads what has arrived; returns whether anything was transferred.
    fn advance(&mut self, limit: usize) -> bool {
        let mut progress = false;
        let mut chunk = [0; 64 * 1024];
        while self.reads && !self.closed {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.closed = true,
                Ok(_) => progress = true,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.closed = true,
            }
        }
        let end = self.output.len().min(self.sent.saturating_add(limit));
        while !self.closed && self.sent < end {
            match self.stream.write(&self.output[self.sent..end]) {
                Ok(count) => {
                    self.sent += count;
                    progress = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.closed = true,
            }
        }
        progress
    }
}

/// Connects a crowd. `reads` tells whether it reads the answers.
///
/// # Errors
///
/// Fails if a connection cannot be opened.
pub fn gather(
    address: SocketAddr,
    size: usize,
    output: &[u8],
    reads: bool,
) -> io::Result<Vec<CrowdMember>> {
    let output: Arc<[u8]> = output.into();
    let connect = |_| {
        let stream = TcpStream::connect(address)?;
        stream.set_nonblocking(true)?;
        Ok(CrowdMember { stream, output: output.clone(), sent: 0, closed: false, reads })
    };
    (0..size).map(connect).collect()
}

/// Lets each member in turn send a piece, until all have sent everything or none can send on.
pub fn send_in_pieces(crowd: &mut [CrowdMember], piece: usize) {
    let mut idle_rounds = 0;
    while idle_rounds < IDLE_ROUNDS {
        let mut progress = false;
        for member in crowd.iter_mut() {
            progress |= member.advance(piece);
        }
        if progress {
            idle_rounds = 0;
        } else {
            idle_rounds += 1;
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Returns a size in bytes from the status of a process, such as `VmHWM`, its largest resident memory so far.
///
/// # Errors
///
/// Fails if there is no such process or field.
pub fn process_memory(process: u32, field: &str) -> io::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = status.lines().find(|line| line.starts_with(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.map(|size| size * 1024).ok_or_else(|| io::Error::other(format!("no field {field}")))
}

/// Returns the number of open descriptors of a process.
///
/// # Errors
///
/// Fails if there is no such process.
pub fn descriptor_count(process: u32) -> io::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{process}/fd"))?.count())
}
