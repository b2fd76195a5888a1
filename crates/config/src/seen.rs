//! Detection of duplicate names and of names whose hashes in a flow ticket collide.

use crate::reader::{
    Quoted,
    Reader, //
};
use std::{
    collections::HashMap,
    hash::Hash,
    sync::Arc, //
};

/// Names of one kind read so far, by their hash in a ticket.
pub(crate) struct SeenNames<H> {
    kind: &'static str,
    hash: fn(&str) -> H,
    names: HashMap<H, Arc<str>>,
}

impl<H: Hash + Eq> SeenNames<H> {
    pub(crate) fn new(kind: &'static str, hash: fn(&str) -> H) -> Self {
        Self {
            kind,
            hash,
            names: HashMap::new(),
        }
    }

    /// Reports the name at the byte offset `at` if it or its hash equals that of an earlier name.
    pub(crate) fn check(&mut self, reader: &Reader<'_>, at: usize, name: &Arc<str>) {
        let Some(other) = self.names.insert((self.hash)(name), name.clone()) else {
            return;
        };
        let kind = self.kind;
        let (name, other) = (Quoted(name), Quoted(&other));
        let message = if name.0 == other.0 {
            format!("Rename or remove this {kind}; the name {name} is taken.")
        } else {
            format!("Rename this {kind}; {name} and {other} have the same hash in a ticket.")
        };
        reader.report(at, message);
    }
}
