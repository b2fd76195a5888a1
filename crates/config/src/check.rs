//! Check of files before they are published: each by itself, then documents against each other.

use crate::{
    document::ServiceDocument,
    finding::Findings,
    packet_settings::AnySettings,
    reader::{
        decode_utf8,
        read_text,
        start,
        Fields,
        Quoted,
        Reader, //
    },
};
use foxtailhinge_wire::ticket::name_hash;
use serde::Serialize;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc, //
};

/// Fields that only settings have.
const SETTINGS_ONLY: [&str; 4] = ["vm", "relay", "control", "keys"];

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FileKind {
    /// The document of a service.
    Document,
    /// Settings of a daemon.
    Settings,
}

/// A document as the check of others remembers it.
struct Known {
    file: Arc<str>,
    service: Arc<str>,
}

/// Checks files one after the other.
#[derive(Default)]
pub struct Checker {
    services: HashMap<u32, Known>,
    addresses: HashMap<SocketAddr, Known>,
}

impl Checker {
    /// Checks a file by itself and against the documents checked before.
    pub fn check(&mut self, file: &str, bytes: &[u8]) -> Result<FileKind, Findings> {
        let text = decode_utf8(file, bytes)?;
        if is_settings(text) {
            return AnySettings::parse(file, text).map(|_| FileKind::Settings);
        }
        let document = ServiceDocument::parse(file, text)?;
        read_text(file, text, |reader, object| {
            let fields = reader.entries(object);
            self.check_service(reader, &fields, file, &document);
            self.check_address(reader, &fields, file, &document);
            Some(FileKind::Document)
        })
    }

    fn check_service(
        &mut self,
        reader: &Reader<'_>,
        fields: &Fields<'_, '_, '_>,
        file: &str,
        document: &ServiceDocument,
    ) {
        let known = known(file, document);
        let hash = name_hash(&document.service);
        let Some(other) = self.services.insert(hash, known) else {
            return;
        };
        let (service, other_service) = (Quoted(&document.service), Quoted(&other.service));
        let message = if document.service == other.service {
            format!(
                "Write another service; {service} has its document in {}.",
                other.file
            )
        } else {
            format!(
                "Rename this service; {service} and {other_service} of {} have the same hash in a ticket.",
                other.file
            )
        };
        reader.report(place(fields, "service"), message);
    }

    fn check_address(
        &mut self,
        reader: &Reader<'_>,
        fields: &Fields<'_, '_, '_>,
        file: &str,
        document: &ServiceDocument,
    ) {
        let known = known(file, document);
        let Some(other) = self.addresses.insert(document.address, known) else {
            return;
        };
        reader.report(
            place(fields, "address"),
            format!(
                "Write another address; {} of {} has this one.",
                Quoted(&other.service),
                other.file
            ),
        );
    }
}

fn known(file: &str, document: &ServiceDocument) -> Known {
    Known {
        file: file.into(),
        service: document.service.clone(),
    }
}

fn place(fields: &Fields<'_, '_, '_>, name: &str) -> usize {
    fields.optional(name).map_or(0, start)
}

/// Tells settings from documents by their fields; a text that is neither counts as a document.
fn is_settings(text: &str) -> bool {
    let found = read_text("", text, |reader, object| {
        let fields = reader.entries(object);
        Some(SETTINGS_ONLY.iter().any(|f| fields.optional(f).is_some()))
    });
    found.unwrap_or(false)
}
