//! Members of the fleet, their liveness and incarnations.
