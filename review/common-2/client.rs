//! A caller.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Makes a call on a new connection; `None` without an answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map_or("", |it| it.1);
    Some((status, body.to_owned()))
}
