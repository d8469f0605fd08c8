//! Sockets whose receive buffer in the kernel is bounded, because unread bytes count as memory of the process.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the kernel keeps until they are accepted.
const ACCEPT_QUEUE: u32 = 1_024;

fn new_socket(address: SocketAddr, receive_bytes: u32) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(receive_bytes)?;
    Ok(socket)
}

/// Binds a port whose connections have receive buffers of this size.
pub(crate) fn listen(address: SocketAddr, receive_bytes: u32) -> io::Result<TcpListener> {
    // Accepted connections inherit the size.
    let socket = new_socket(address, receive_bytes)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Opens a connection with a receive buffer of this size.
pub(crate) async fn connect(address: SocketAddr, receive_bytes: u32) -> io::Result<TcpStream> {
    new_socket(address, receive_bytes)?.connect(address).await
}
