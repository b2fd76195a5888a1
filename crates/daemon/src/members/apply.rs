//! Validation of documents from the platform and from peers. Valid documents come into force, others are refused with
//! findings.

use super::{
    control::{
        AcceptedDocument,
        Control, //
    },
    event::{
        ControlEvent,
        Source, //
    },
};
use foxtailhinge_config::document::ServiceDocument;
use foxtailhinge_policy::revisions::OfferOutcome;
use foxtailhinge_wire::message::DocumentRecord;
use std::rc::Rc;

impl Control {
    /// Applies a document, or the removal of one, from the platform or a peer.
    ///
    /// A change is announced to peers, except by a daemon that has not synced and still copies their documents.
    pub fn apply_document(&self, record: DocumentRecord, source: &Source) -> OfferOutcome {
        let service: Rc<str> = record.service.into();
        let revision = record.revision;
        let known = self.documents().known_outcome(&service, revision);
        if let Some(offer) = known {
            return offer;
        }
        let document = match record.text {
            None => Ok(None),
            Some(text) => self.read_document(&service, text.into()).map(Some),
        };
        match document {
            Ok(document) => self.accept_document(service, revision, document, source),
            Err((text, findings)) => {
                self.refuse_document(service, revision, text, findings, source)
            }
        }
    }

    fn accept_document(
        &self,
        service: Rc<str>,
        revision: u64,
        document: Option<AcceptedDocument>,
        source: &Source,
    ) -> OfferOutcome {
        let new = document.as_ref().map(|d| d.document.clone());
        let old = self.documents().get(&service).map(|d| d.document.clone());
        let offer = self.documents_mut().offer(&service, revision, document);
        self.announce(&service);
        self.notify(&ControlEvent::Document {
            service,
            revision,
            old,
            new,
            source: source.clone(),
        });
        offer
    }

    fn refuse_document(
        &self,
        service: Rc<str>,
        revision: u64,
        text: Rc<str>,
        findings: Vec<String>,
        source: &Source,
    ) -> OfferOutcome {
        let mut documents = self.documents_mut();
        let offer = documents.refuse(&service, revision, text, findings.clone());
        drop(documents);
        if offer == OfferOutcome::Refused {
            self.announce(&service);
            self.notify(&ControlEvent::Refused {
                service,
                revision,
                findings,
                source: source.clone(),
            });
        }
        offer
    }

    fn announce(&self, service: &Rc<str>) {
        if self.is_synced() {
            self.push_changed(service);
        }
    }

    fn read_document(
        &self,
        service: &str,
        text: Rc<str>,
    ) -> Result<AcceptedDocument, (Rc<str>, Vec<String>)> {
        match ServiceDocument::parse_published(service, &text) {
            Ok(mut document) => {
                document.intern_names(&mut self.names_mut());
                let document = Rc::new(document);
                Ok(AcceptedDocument { document, text })
            }
            Err(findings) => {
                let findings = findings.iter().map(ToString::to_string).collect();
                Err((text, findings))
            }
        }
    }
}
