//! A small HTTP/1.1 server: a thread for each connection.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// What is answered: `None` closes the connection without an answer.
pub type Reply = Option<(u16, String)>;

/// A server that runs until the process ends.
pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    /// Listens on this address; port 0 chooses a free one.
    pub fn start(
        address: SocketAddr,
        handler: impl Fn(Request) -> Reply + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self { address })
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Reply) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            break;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), body.as_bytes()].concat();
        if writer.write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1)?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|it| it.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
