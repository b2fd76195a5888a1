//! A fleet of real daemon processes with its stand-ins.
