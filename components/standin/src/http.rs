//! The HTTP server of a stand-in, and helpers for its handlers.

use std::net::SocketAddr;

use eyre::{Result, WrapErr};
use salvo::http::StatusCode;
use salvo::http::body::{BodySender, ResBody};
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::server::ServerHandle;
use salvo::{Request, Response, Router, Server};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A stand-in that serves requests until it is stopped or dropped.
pub struct RunningStandin {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
    helpers: Vec<JoinHandle<()>>,
}

impl RunningStandin {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once and cuts open connections.
    pub async fn stop(mut self) {
        self.handle.stop_forceful();
        // The task ends without a value; a panic in it has been printed already.
        let _ = (&mut self.task).await;
    }

    /// Waits until the server ends.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for RunningStandin {
    fn drop(&mut self) {
        self.handle.stop_forceful();
        for helper in &self.helpers {
            helper.abort();
        }
    }
}

/// Listens on an address and serves a router; `helpers` end with it.
pub(crate) async fn serve(
    address: SocketAddr,
    router: Router,
    helpers: Vec<JoinHandle<()>>,
) -> Result<RunningStandin> {
    let acceptor = listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to listen on {address}"))?;
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the address of a listener")?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(router));
    telemetry::event!(telemetry::events::STANDIN_STARTED, address = %address);
    Ok(RunningStandin {
        address,
        handle,
        task,
        helpers,
    })
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    let bytes = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .wrap_err("Failed to read the request body")?;
    serde_json::from_slice(bytes).wrap_err("Failed to read the request body as JSON")
}

/// Reads a number from the query of a request.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    request.query::<u64>(name)
}

/// Writes a JSON response.
pub(crate) fn write_json(response: &mut Response, status: StatusCode, body: &Value) {
    response.status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.body(ResBody::Once(body.to_string().into()));
}

/// Writes an error in the form of OpenAI's interface.
pub(crate) fn write_error(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    let body = json!({"error": {"code": code, "message": message}});
    write_json(response, status, &body);
}

/// Begins a response whose body is sent in parts.
pub(crate) fn write_parts(response: &mut Response, content_type: &'static str) -> BodySender {
    let (sender, body) = ResBody::channel();
    response.status_code(StatusCode::OK);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response.body(body);
    sender
}

/// Begins a response and cuts the connection before its body is complete.
pub(crate) fn cut(response: &mut Response) {
    let mut sender = write_parts(response, "application/json");
    sender.send_error(std::io::Error::other("connection cut by a fault"));
}
