//! Stream of a connection that records the phase of its requests.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connections::{ConnectionEntry, Phase};

/// First bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// First bytes of an interim response, after which the body of the same request may follow.
const INTERIM_RESPONSE: &[u8] = b"HTTP/1.1 1";

/// Finds the empty line that ends the head of a request.
#[derive(Debug, Default)]
struct HeadScanner {
    /// Whether a line other than the empty ones before a request has begun.
    has_line: bool,
    is_after_newline: bool,
}

impl HeadScanner {
    /// Returns whether the head ends within these bytes.
    fn scan(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            match byte {
                b'\n' if self.is_after_newline && self.has_line => return true,
                b'\n' => self.is_after_newline = true,
                b'\r' => {}
                _ => {
                    self.has_line = true;
                    self.is_after_newline = false;
                }
            }
        }
        false
    }
}

/// Stream of an accepted connection.
#[derive(Debug)]
pub struct TrackedStream<S> {
    stream: S,
    /// `None` if the connections of the listener are not bounded.
    entry: Option<ConnectionEntry>,
    scanner: HeadScanner,
}

impl<S> TrackedStream<S> {
    pub(crate) fn new(stream: S, entry: Option<ConnectionEntry>) -> Self {
        Self {
            stream,
            entry,
            scanner: HeadScanner::default(),
        }
    }

    /// Records bytes that have arrived. Fails for HTTP/2, whose frames are not inspected, so that no
    /// time-out would apply to the connection.
    fn record_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let Some(entry) = &self.entry else {
            return Ok(());
        };
        if bytes.is_empty() || entry.phase() == Phase::Busy {
            return Ok(());
        }
        if entry.phase() == Phase::Idle {
            if bytes.starts_with(HTTP2_PREFACE) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            self.scanner = HeadScanner::default();
            entry.set_phase(Phase::Head);
        }
        if self.scanner.scan(bytes) {
            entry.set_phase(Phase::Busy);
        }
        Ok(())
    }

    fn record_write(&self, bytes: &[u8]) {
        let Some(entry) = &self.entry else {
            return;
        };
        match entry.phase() {
            // The response to the request before is still being sent, and must not be cut.
            Phase::Head => entry.set_phase(Phase::Head),
            Phase::Busy | Phase::Idle if !bytes.starts_with(INTERIM_RESPONSE) => {
                entry.set_phase(Phase::Idle);
            }
            Phase::Busy | Phase::Idle => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = polled {
            self.record_read(&buf.filled()[before..])?;
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(_)) = polled {
            self.record_write(buf);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if let Poll::Ready(Ok(_)) = polled {
            self.record_write(bufs.first().map_or(&[], |buf| buf));
        }
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
