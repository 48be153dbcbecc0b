//! HTTP server of the control ports, with JSON bodies.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use anyhow::{Context, anyhow};
use serde_json::{Value, json};
use socket2::SockRef;
use tiny_http::{Header, Request, Response, Server};

/// A request to a control port.
pub(crate) struct ControlRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// Starts an HTTP server on the loopback interface; port 0 lets the kernel choose.
pub(crate) fn listen(port: u16) -> anyhow::Result<(Arc<Server>, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port))
        .with_context(|| format!("failed to listen on port {port}"))?;
    // Accepted connections inherit the option on Linux. Without it, answers of a few kilobytes take
    // 44 ms, because the server writes them in two parts.
    SockRef::from(&listener).set_tcp_nodelay(true).context("failed to set TCP_NODELAY")?;
    let server = Server::from_listener(listener, None)
        .map_err(|error| anyhow!("failed to serve on port {port}: {error}"))?;
    let address = server.server_addr().to_ip().context("the server has no IP address")?;
    Ok((Arc::new(server), address))
}

/// Builds a JSON response.
pub(crate) fn json_response(status: u16, value: &Value) -> Response<std::io::Cursor<Vec<u8>>> {
    let response = Response::from_string(value.to_string()).with_status_code(status);
    match Header::from_bytes("Content-Type", "application/json") {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}

/// Reads the parts of a request that a control handler needs.
pub(crate) fn read_control(request: &mut Request) -> std::io::Result<ControlRequest> {
    let mut body = String::new();
    request.as_reader().read_to_string(&mut body)?;
    let path = request.url().split('?').next().unwrap_or_default().to_string();
    Ok(ControlRequest { method: request.method().to_string(), path, body })
}

/// Answers a control request.
pub(crate) fn answer_control(
    mut request: Request,
    handler: impl FnOnce(&ControlRequest) -> anyhow::Result<Value>,
) {
    let result = read_control(&mut request).map_err(anyhow::Error::from);
    let response = match result.and_then(|control| handler(&control)) {
        Ok(value) => json_response(200, &value),
        Err(error) => json_response(400, &json!({ "error": format!("{error:#}") })),
    };
    // Fails if the client has disconnected.
    drop(request.respond(response));
}

/// A control port with one thread; dropping it stops the server.
pub(crate) struct ControlServer {
    server: Arc<Server>,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl std::fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ControlServer({})", self.address)
    }
}

impl ControlServer {
    pub(crate) fn start(
        port: u16,
        handler: impl Fn(&ControlRequest) -> anyhow::Result<Value> + Send + 'static,
    ) -> anyhow::Result<Self> {
        let (server, address) = listen(port)?;
        let worker = server.clone();
        let thread = std::thread::spawn(move || {
            for request in worker.incoming_requests() {
                answer_control(request, &handler);
            }
        });
        Ok(ControlServer { server, address, thread: Some(thread) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
