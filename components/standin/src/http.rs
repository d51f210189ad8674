//! HTTP server of the stand-ins, and functions to read requests and write responses.

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

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A running stand-in. Stops its server and closes open connections when dropped.
pub struct RunningStandin {
    address: SocketAddr,
    handle: ServerHandle,
    server_task: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
}

impl RunningStandin {
    /// Address that the server listens on, with the port that the system chose if port 0 was set.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops without draining: open connections are closed before their responses are complete.
    pub async fn stop(mut self) {
        self.handle.stop_forceful();
        // The task returns no value, and a panic in it has already been printed by the panic hook.
        let _ = (&mut self.server_task).await;
    }

    /// Waits until the server stops.
    pub async fn wait(mut self) {
        let _ = (&mut self.server_task).await;
    }
}

impl Drop for RunningStandin {
    fn drop(&mut self) {
        self.handle.stop_forceful();
        for background_task in &self.background_tasks {
            background_task.abort();
        }
    }
}

/// Starts a server on an address. The background tasks are aborted when the stand-in is dropped.
pub(crate) async fn serve(
    address: SocketAddr,
    router: Router,
    background_tasks: Vec<JoinHandle<()>>,
) -> Result<RunningStandin> {
    let acceptor = listener::listen(address)
        .await
        .wrap_err_with(|| format!("Failed to listen on {address}"))?;
    let address = acceptor
        .local_addr()
        .wrap_err("Failed to read the local address of the listener")?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let server_task = tokio::spawn(server.serve(router));
    telemetry::event!(telemetry::events::STANDIN_STARTED, address = %address);
    Ok(RunningStandin {
        address,
        handle,
        server_task,
        background_tasks,
    })
}

/// Reads a JSON body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    let bytes = request
        .payload_with_max_size(MAX_BODY_BYTES)
        .await
        .wrap_err("Failed to read the request body")?;
    serde_json::from_slice(bytes).wrap_err("Failed to read the request body as JSON")
}

/// Reads a number from the query string; `None` if it is missing or not a number.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    request.query::<u64>(name)
}

pub(crate) fn write_json(response: &mut Response, status: StatusCode, body: &Value) {
    response.status_code(status);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.body(ResBody::Once(body.to_string().into()));
}

/// Writes an error response in the format of the OpenAI API.
pub(crate) fn write_error(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    let body = json!({"error": {"code": code, "message": message}});
    write_json(response, status, &body);
}

/// Starts a response with status 200 whose body is sent through the returned sender.
pub(crate) fn start_streaming(response: &mut Response, content_type: &'static str) -> BodySender {
    let (sender, body) = ResBody::channel();
    response.status_code(StatusCode::OK);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response.body(body);
    sender
}

/// Starts a response and closes the connection before the body is complete.
pub(crate) fn abort_response(response: &mut Response) {
    let mut sender = start_streaming(response, "application/json");
    sender.send_error(std::io::Error::other(
        "response aborted before its body was complete",
    ));
}
