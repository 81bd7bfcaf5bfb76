//! Plain HTTP/1.1 over blocking sockets, for the stand-ins of these cases.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: its first line, its headers with names in lowercase, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if this is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. `None` at the end of the connection before its first byte.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, rest)? {
            return if rest.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
    };
    let head: Vec<u8> = rest.drain(..head_end + 4).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let line = lines.next().unwrap_or("").to_owned();
    let pair = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers = lines.filter_map(pair).collect();
    let mut message = Message { line, headers, body: Vec::new() };
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|text| text.contains("chunked"));
    if is_chunked {
        message.body = read_chunks(stream, rest)?;
    } else if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok())
    {
        while rest.len() < length {
            if !fill(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = rest.drain(..length).collect();
    }
    Ok(Some(message))
}

fn read_chunks(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = rest.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            if !fill(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let size: Vec<u8> = rest.drain(..end + 2).collect();
        let size = String::from_utf8_lossy(&size[..end]).into_owned();
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        while rest.len() < size + 2 {
            if !fill(stream, rest)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(rest.drain(..size));
        rest.drain(..2);
        if size == 0 {
            return Ok(body);
        }
    }
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut buffer = [0; 16 << 10];
    let count = stream.read(&mut buffer)?;
    rest.extend_from_slice(&buffer[..count]);
    Ok(count > 0)
}

/// A client's connection, kept open for many requests.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Self { stream, rest: Vec::new() })
    }

    /// Sends a request and reads the response to it.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        self.stream.write_all(&[head.as_bytes(), body].concat())?;
        let response = read_message(&mut self.stream, &mut self.rest)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
