//! Check of files before they are published: each file by itself, then the documents against each
//! other.

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

/// Fields that occur in settings but not in documents.
const SETTINGS_ONLY: [&str; 4] = ["vm", "relay", "control", "keys"];

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FileKind {
    /// The document of a service.
    Document,
    /// Settings of a daemon.
    Settings,
}

/// File and service of a document that was checked before.
struct CheckedDocument {
    file: Arc<str>,
    service: Arc<str>,
}

/// Checks files one after the other and compares each document with the earlier ones.
#[derive(Default)]
pub struct Checker {
    services: HashMap<u32, CheckedDocument>,
    addresses: HashMap<SocketAddr, CheckedDocument>,
}

impl Checker {
    /// Checks a file by itself and, if it is a document, against the documents checked before.
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
        let entry = checked_document(file, document);
        let hash = name_hash(&document.service);
        let Some(other) = self.services.insert(hash, entry) else {
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
        reader.report(offset_of(fields, "service"), message);
    }

    fn check_address(
        &mut self,
        reader: &Reader<'_>,
        fields: &Fields<'_, '_, '_>,
        file: &str,
        document: &ServiceDocument,
    ) {
        let entry = checked_document(file, document);
        let Some(other) = self.addresses.insert(document.address, entry) else {
            return;
        };
        reader.report(
            offset_of(fields, "address"),
            format!(
                "Write another address; {} of {} has this one.",
                Quoted(&other.service),
                other.file
            ),
        );
    }
}

fn checked_document(file: &str, document: &ServiceDocument) -> CheckedDocument {
    CheckedDocument {
        file: file.into(),
        service: document.service.clone(),
    }
}

fn offset_of(fields: &Fields<'_, '_, '_>, name: &str) -> usize {
    fields.optional(name).map_or(0, start)
}

/// Whether a text has a field that only settings have; any other text is treated as a document.
fn is_settings(text: &str) -> bool {
    let found = read_text("", text, |reader, object| {
        let fields = reader.entries(object);
        Some(SETTINGS_ONLY.iter().any(|f| fields.optional(f).is_some()))
    });
    found.unwrap_or(false)
}
