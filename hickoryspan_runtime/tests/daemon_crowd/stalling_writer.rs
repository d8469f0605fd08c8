//! How a member of a crowd sends.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time in which a member may not make progress before it counts as settled.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Sends as much as the process reads. Returns false if the process has closed the connection.
pub async fn write_until_stalled(stream: &mut TcpStream, request: &[u8]) -> bool {
    let mut rest = request;
    while !rest.is_empty() {
        match tokio::time::timeout(SETTLE_TIME, stream.write(rest)).await {
            Ok(Ok(count)) => rest = &rest[count..],
            Ok(Err(_)) => return false,
            // The process does not read on. The member stays.
            Err(_) => return true,
        }
    }
    true
}
