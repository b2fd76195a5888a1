//! Admin interface with canned answers.

use std::{
    collections::HashMap,
    io::{
        BufRead,
        BufReader,
        Write, //
    },
    net::{
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    thread,
};

/// Canned answers by request target, given in order; the last one of a target is repeated.
#[derive(Default)]
pub(crate) struct FakeAdmin {
    answers: HashMap<String, Vec<(u16, String)>>,
}

impl FakeAdmin {
    pub(crate) fn answer(mut self, target: &str, status: u16, body: &str) -> Self {
        let answers = self.answers.entry(target.to_string()).or_default();
        answers.push((status, body.to_string()));
        self
    }

    /// Serves on a thread that ends with the test process.
    pub(crate) fn start(mut self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming() {
                self.serve(stream.unwrap());
            }
        });
        addr
    }

    fn serve(&mut self, mut stream: TcpStream) {
        let head: Vec<_> = BufReader::new(&stream)
            .lines()
            .map(Result::unwrap)
            .take_while(|line| !line.is_empty())
            .collect();
        let target = head[0].split(' ').nth(1).unwrap();
        let (status, body) = self.next_answer(target);
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )
        .unwrap();
    }

    fn next_answer(&mut self, target: &str) -> (u16, String) {
        match self.answers.get_mut(target) {
            Some(answers) if answers.len() > 1 => answers.remove(0),
            Some(answers) => answers[0].clone(),
            None => (
                404,
                format!("{{\"error\":\"No canned answer for {target}.\"}}"),
            ),
        }
    }
}
