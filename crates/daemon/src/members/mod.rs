//! Liveness probes between daemons and the view of the fleet.
