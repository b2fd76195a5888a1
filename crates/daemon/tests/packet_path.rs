//! The packet path as a task that may fail.

use foxtailhinge::{
    packets::{
        evidence::Evidence,
        metrics::PacketMetrics,
        path::PacketPath,
        view::View, //
    },
    socket::Socket,
};
use foxtailhinge_config::packet_settings::PacketLimits;
use foxtailhinge_policy::packets::Balancer;
use futures::FutureExt;
use monoio::{
    LegacyDriver,
    RuntimeBuilder, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use std::rc::Rc;

/// A daemon whose data path had failed stayed in rotation until the path was restarted.
#[test]
fn a_path_counts_as_running_only_while_it_forwards() {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(async {
        let metrics = Rc::new(PacketMetrics::new());
        let store = "127.0.0.1:1".parse().unwrap();
        let view = View::new(store, PacketLimits::default(), Rc::clone(&metrics));
        let socket = Socket::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let balancer = Balancer::new("windhoek-1".into(), SmallRng::seed_from_u64(1));
        let path = PacketPath::new(
            socket,
            balancer,
            Rc::new(view),
            Rc::new(Evidence::default()),
            metrics,
        );
        assert!(!path.is_running());
        let mut run = Box::pin(path.run());
        assert!(run.as_mut().now_or_never().is_none());
        assert!(path.is_running());
        drop(run);
        assert!(!path.is_running());
    });
}
