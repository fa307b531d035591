//! A worker, as PROTOCOL.md describes it.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http;
use crate::record::Record;

pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub work: Duration,
    /// The identifiers of the requests that have begun to run, with their times.
    pub ran: Mutex<Vec<(String, Duration)>>,
    record: Record,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        listener: TcpListener,
        work: Duration,
        record: &Record,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            work,
            ran: Mutex::default(),
            record: record.clone(),
        });
        let accepting = Arc::clone(&worker);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let worker = Arc::clone(&accepting);
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(request) = http::read_message(&mut stream, &mut buffer) {
            let answer = if request.part(1) == "/health" {
                format!(
                    "HTTP/1.1 200 OK\r\nRadishgauge-Instance-Id: {}\r\nRadishgauge-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else {
                self.answer(&request)
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> String {
        let Some(id) = request.field("radishgauge-request-id") else {
            return "HTTP/1.1 400 X\r\nRadishgauge-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .to_owned();
        };
        let target = request.field("radishgauge-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return format!(
                "HTTP/1.1 421 X\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        self.record.line(format!(
            "worker {} ({}): runs {id}, {} bytes",
            self.id,
            self.service,
            request.body.len()
        ));
        let at = self.record.now();
        self.ran.lock().unwrap().push((id.to_owned(), at));
        std::thread::sleep(self.work);
        let body = format!("{id} {}", self.service);
        format!(
            "HTTP/1.1 200 OK\r\nRadishgauge-Request-Id: {id}\r\nRadishgauge-Response-Signature: {id}.{}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len(),
            body.len()
        )
    }
}
