//! CoAP service with scripted answers.

use foxtailhinge_wire::coap::Datagram;
use std::{
    net::{
        SocketAddr,
        UdpSocket, //
    },
    thread,
};

/// Serves on a thread that ends with the test process. `answers` is called with each request and its number, which
/// starts at 1.
pub(crate) fn serve(
    answers: impl Fn(&Datagram, usize) -> Vec<Datagram> + Send + 'static,
) -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    thread::spawn(move || {
        let mut buf = [0; 2048];
        for number in 1.. {
            let (len, caller) = socket.recv_from(&mut buf).unwrap();
            let req = Datagram::parse(&buf[..len]).unwrap();
            for answer in answers(&req, number) {
                socket.send_to(&answer.to_bytes(), caller).unwrap();
            }
        }
    });
    addr
}
