//! Reader of the platform's configuration service and VM list.
