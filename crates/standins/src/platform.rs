//! The platform's configuration service and VM list.
