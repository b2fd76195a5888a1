//! Lists of the platform in which another writer left an entry that cannot be used.

use foxtailhinge::platform::message::{
    DocumentList,
    VmList, //
};
use rstest::rstest;

const DEPTH: usize = 100_000;

const VM: &str = r#"{"id":"vm-1","zone":"windhoek-1","state":"live","relay":"10.20.1.1:7000","control":"10.20.1.1:7001"}"#;
const DOCUMENT: &str = r#"{"service":"syncdesk-api","revision":4,"text":"{}"}"#;

fn nested(entry: &str) -> String {
    let deep = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    entry.replacen('{', &format!(r#"{{"extra":{deep},"#), 1)
}

/// One entry that could not be parsed made the daemons refuse the whole list, so that they followed no change any more.
#[rstest]
#[case::port_out_of_range(VM.replace("7001", "70001"))]
#[case::number_too_large(VM.replace(r#""vm-1""#, "1e999"))]
#[case::unknown_state(VM.replace("live", "resting"))]
#[case::field_missing(VM.replace(r#""zone":"windhoek-1","#, ""))]
#[case::nested_where_text_belongs(VM.replace(r#""vm-1""#, &("[".repeat(DEPTH) + &"]".repeat(DEPTH))))]
#[case::no_object("null".to_owned())]
fn an_odd_vm_leaves_the_others_in_the_list(#[case] odd: String) {
    let body = format!(r#"{{"revision":9,"vms":[{VM},{odd},{VM}]}}"#);
    let list: VmList = serde_json::from_str(&body).unwrap();
    assert_eq!((list.revision, list.vms.usable.len()), (9, 2));
    assert_eq!(list.vms.refused[0].index, 1);
}

/// As for VMs, for the documents of services.
#[rstest]
#[case::number_too_large(DOCUMENT.replace('4', "99999999999999999999"))]
#[case::wrong_type(DOCUMENT.replace('4', r#""4""#))]
#[case::nested_where_text_belongs(DOCUMENT.replace(r#""{}""#, &("[".repeat(DEPTH) + &"]".repeat(DEPTH))))]
fn an_odd_document_leaves_the_others_in_the_list(#[case] odd: String) {
    let body = format!(r#"{{"revision":9,"documents":[{odd},{DOCUMENT}]}}"#);
    let list: DocumentList = serde_json::from_str(&body).unwrap();
    assert_eq!((list.revision, list.documents.usable.len()), (9, 1));
    assert_eq!(list.documents.refused[0].index, 0);
}

/// A field that this version does not know is skipped, however deep it is nested.
#[test]
fn deep_nesting_in_an_unknown_field_is_skipped() {
    let body = format!(r#"{{"revision":9,"vms":[{}]}}"#, nested(VM));
    let list: VmList = serde_json::from_str(&body).unwrap();
    assert_eq!(list.vms.usable.len(), 1);
}
