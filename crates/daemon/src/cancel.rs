//! Cancel requests to backend servers.

use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::{self, Either};
use futures::io::{AsyncReadExt, AsyncWriteExt};
use model::SocketAddress;
use rpc::{RpcStream, TaskPool};
use stakker::{Core, Fwd};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;

/// Timeout of a cancel request, including its connection.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a cancel request on a connection of its own. `done` is called with whether the backend
/// server processed it, which it shows by closing the connection.
pub(crate) fn send_cancel(
    core: &mut Core,
    pool: &TaskPool,
    address: SocketAddress,
    packet: Bytes,
    done: Fwd<bool>,
) {
    let poll: MioPoll = core.anymap_get();
    let stream = TcpStream::connect(rpc::dial_address(address))
        .and_then(|stream| RpcStream::new(&poll, stream));
    let Ok(mut stream) = stream else {
        done.fwd(false);
        return;
    };
    let (expire, expired) = oneshot::channel();
    core.after(CANCEL_TIMEOUT, move |_| {
        let _ = expire.send(());
    });
    pool.spawn(async move {
        let exchange = std::pin::pin!(async {
            stream.write_all(&packet).await?;
            let mut end = [0];
            stream.read(&mut end).await
        });
        let delivered = match future::select(exchange, expired).await {
            Either::Left((result, _)) => result.is_ok(),
            Either::Right(_) => false,
        };
        done.fwd(delivered);
    });
}
