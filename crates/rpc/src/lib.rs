//! capnp-rpc over non-blocking streams polled from the stakker loop.
