//! Health of an upstream as its owner sees it.
