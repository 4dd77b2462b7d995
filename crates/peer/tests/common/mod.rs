//! The bytes of the peer protocol, written by hand.

#![allow(dead_code)]

use std::{
    io::{Read, Result, Write},
    net::TcpStream,
    time::Duration,
};

/// What each side sends first. The sixth byte is the role: 0x50 sends and 0x51 receives.
pub const SENDER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
pub const RECEIVER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Exchanges headers with a sender that has connected.
pub fn accept_sender(stream: &mut TcpStream) -> Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&RECEIVER_HEADER)?;
    stream.read_exact(&mut [0; 8])
}

/// Connects to a receiver and exchanges headers.
pub fn connect_receiver(address: &str) -> Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.write_all(&SENDER_HEADER)?;
    stream.read_exact(&mut [0; 8])?;
    Ok(stream)
}

/// Reads a message behind its length in 8 bytes.
pub fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let mut length = [0; 8];
    stream.read_exact(&mut length)?;
    let length = usize::try_from(u64::from_be_bytes(length)).unwrap_or(usize::MAX);
    let mut frame = vec![0; length.min(1 << 22)];
    stream.read_exact(&mut frame)?;
    Ok(frame)
}

/// Writes a message behind its length in 8 bytes.
pub fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> Result<()> {
    stream.write_all(&(frame.len() as u64).to_be_bytes())?;
    stream.write_all(frame)
}
