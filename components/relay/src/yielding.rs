//! Stream that yields to other tasks after a bounded number of read bytes.
//!
//! A target in trouble may send bytes without end, which are always ready to be read. The scheduler
//! limits the number of reads of a task, but a read of 16 KiB may hold hundreds of interim
//! responses, which take long to parse.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes after which a reader yields.
const MAX_BURST_BYTES: usize = 64 << 10;

/// Stream whose reader yields after [`MAX_BURST_BYTES`].
pub(crate) struct YieldingStream<S> {
    stream: S,
    /// Number of bytes read since the last yield.
    burst: usize,
}

impl<S> YieldingStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        Self { stream, burst: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for YieldingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst >= MAX_BURST_BYTES {
            self.burst = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match polled {
            Poll::Ready(_) => self.burst += buf.filled().len() - before,
            Poll::Pending => self.burst = 0,
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for YieldingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
