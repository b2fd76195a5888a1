//! The control plane's long-lived tasks.

use super::{
    control::Control,
    prober::{
        Prober,
        RelaySender, //
    },
};
use crate::{
    links::{
        compare,
        push,
        server,
        LinkHandler,
        Server, //
    },
    platform::Reader,
};
use futures::join;
use std::{
    io,
    rc::Rc, //
};

impl Control {
    /// Runs all tasks of the control plane; returns only if the control address cannot be bound.
    pub async fn run<S, H>(
        self: Rc<Self>,
        prober: Rc<Prober<S>>,
        handler: Rc<H>,
    ) -> Result<(), io::Error>
    where
        S: RelaySender + 'static,
        H: LinkHandler + 'static,
    {
        let listener = server::bind(self.settings().control)?;
        let server = Server::new(self.clone(), handler);
        let reader = Reader::new(self.clone());
        join!(
            server.run(listener),
            prober.run(),
            reader.run(),
            compare::run(self.clone()),
            push::run(self.clone()),
            self.watch_pauses(),
        );
        Ok(())
    }
}
