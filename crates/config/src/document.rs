//! The document that a team keeps for its service.
