//! Reads of bounded size, since the HTTP library enlarges the buffer of a connection after larger ones.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};

/// Reads up to `most` bytes into a buffer and returns their number.
pub(crate) fn poll_read_part(
    stream: Pin<&mut impl AsyncRead>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    most: usize,
) -> Poll<io::Result<usize>> {
    let filled_before = buffer.filled().len();
    if buffer.remaining() <= most {
        ready!(stream.poll_read(context, buffer))?;
    } else {
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(stream.poll_read(context, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
    }
    Poll::Ready(Ok(buffer.filled().len() - filled_before))
}
