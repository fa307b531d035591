//! A daemon that other daemons ask for its state.

use std::sync::Arc;

use radishgauge_net::CallerListener;
use radishgauge_net::HttpRequest;
use radishgauge_net::ListenLimits;
use radishgauge_sidecar::node::SidecarNode;
use radishgauge_sidecar::state_exchange;

/// Serves a daemon's state to other daemons until the listener is dropped.
pub fn serve_state(node: &Arc<SidecarNode>) -> CallerListener {
    let node = Arc::clone(node);
    let address = "127.0.0.1:0".parse().unwrap();
    let handler = move |request: HttpRequest| {
        let node = Arc::clone(&node);
        async move {
            let head = request.head;
            let peer = request.remote;
            state_exchange::serve(&node, peer, &head.method, &head.uri, request.body).await
        }
    };
    CallerListener::bind(address, ListenLimits::default(), handler).unwrap()
}
