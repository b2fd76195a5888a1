//! HTTP interface for operators: metrics, status, audit and explain.
