//! Documents in force: revisions never decrease, whatever the source of a copy.

use foxtailhinge_policy::revisions::{
    Documents,
    OfferOutcome, //
};
use quickcheck::{
    Gen,
    QuickCheck,
    Testable, //
};
use rstest::rstest;
use std::rc::Rc;

const SEED: u64 = 1;

fn service() -> Rc<str> {
    "syncdesk-api".into()
}

#[rstest]
#[case::newer(5, Some("new"), OfferOutcome::Applied, Some("new"))]
#[case::same(4, Some("other"), OfferOutcome::Same, Some("old"))]
#[case::older(3, Some("stale"), OfferOutcome::Older, Some("old"))]
#[case::removed(5, None, OfferOutcome::Removed, None)]
#[case::old_removal(3, None, OfferOutcome::Older, Some("old"))]
fn a_lower_revision_is_ignored(
    #[case] revision: u64,
    #[case] document: Option<&str>,
    #[case] offer: OfferOutcome,
    #[case] in_force: Option<&str>,
) {
    let mut documents = Documents::new();
    documents.offer(&service(), 4, Some("old"));
    assert_eq!(documents.offer(&service(), revision, document), offer);
    assert_eq!(documents.get("syncdesk-api").copied(), in_force);
}

#[test]
fn an_old_copy_does_not_undo_a_removal() {
    let mut documents = Documents::new();
    documents.offer(&service(), 4, Some("old"));
    documents.offer(&service(), 6, None);
    assert_eq!(
        documents.offer(&service(), 4, Some("old")),
        OfferOutcome::Older
    );
    assert_eq!(
        documents.offer(&service(), 6, Some("old")),
        OfferOutcome::Same
    );
    assert_eq!(documents.get("syncdesk-api"), None);
    assert_eq!(
        documents.offer(&service(), 7, Some("again")),
        OfferOutcome::Applied
    );
}

#[test]
fn the_last_good_document_stays_when_the_next_has_findings() {
    let mut documents = Documents::new();
    documents.offer(&service(), 4, Some("good"));
    let findings = vec!["Write a number.".to_owned()];
    let refuse = |documents: &mut Documents<_>, revision| {
        documents.refuse(&service(), revision, "bad".into(), findings.clone())
    };
    assert_eq!(refuse(&mut documents, 6), OfferOutcome::Refused);
    assert_eq!(refuse(&mut documents, 6), OfferOutcome::Same);
    assert_eq!(refuse(&mut documents, 5), OfferOutcome::Older);
    assert_eq!(
        documents.known_outcome("syncdesk-api", 6),
        Some(OfferOutcome::Same)
    );
    assert_eq!(documents.get("syncdesk-api"), Some(&"good"));
    assert_eq!(
        documents.offer(&service(), 5, Some("late but good")),
        OfferOutcome::Applied
    );
    let refusal = documents.entry("syncdesk-api").unwrap().refusal.as_ref();
    assert_eq!(refusal.unwrap().revision, 6);
    assert_eq!(
        documents.offer(&service(), 7, Some("mended")),
        OfferOutcome::Applied
    );
    assert!(documents.entry("syncdesk-api").unwrap().refusal.is_none());
}

#[test]
fn digests_show_what_each_side_is_missing() {
    let mut ours = Documents::new();
    let mut theirs = Documents::new();
    for (name, our, their) in [("same", 3, 3), ("ours", 5, 2), ("theirs", 1, 4)] {
        ours.offer(&name.into(), our, Some(()));
        theirs.offer(&name.into(), their, Some(()));
    }
    ours.offer(&"removed".into(), 9, None);
    theirs.offer(&"removed".into(), 8, Some(()));
    theirs.refuse(&"same".into(), 7, "bad".into(), Vec::new());
    let digest = theirs.digest();
    assert_eq!(
        ours.missing(&digest),
        ["same".into(), "theirs".into()] as [Rc<str>; 2]
    );
    assert_eq!(
        ours.newer_than(&digest),
        ["ours".into(), "removed".into()] as [Rc<str>; 2]
    );
}

/// Checks a property with a fixed seed, so that every run uses the same inputs.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new().rng(rng).quickcheck(property);
}

#[test]
fn revisions_never_decrease() {
    fn property(offers: Vec<(u8, u64, bool, bool)>) -> bool {
        let mut documents = Documents::new();
        offers.into_iter().all(|(name, revision, removed, bad)| {
            let name: Rc<str> = format!("s{}", name % 4).into();
            let before = documents.entry(&name).map_or(0, |e| e.revision);
            if bad {
                documents.refuse(&name, revision % 8, "".into(), Vec::new());
            } else {
                documents.offer(&name, revision % 8, (!removed).then_some(revision));
            }
            documents.entry(&name).map_or(0, |e| e.revision) >= before
        })
    }
    check(property as fn(Vec<(u8, u64, bool, bool)>) -> bool);
}

#[test]
fn equal_sums_mean_equal_revisions() {
    fn property(a: Vec<(u8, u64)>, b: Vec<(u8, u64)>) -> bool {
        let fill = |offers: &[(u8, u64)]| {
            let mut documents = Documents::new();
            for (name, revision) in offers {
                documents.offer(&format!("s{name}").into(), (*revision).max(1), Some(()));
            }
            documents
        };
        let (one, other) = (fill(&a), fill(&b));
        (one.sums() == other.sums()) == (one.digest() == other.digest())
    }
    check(property as fn(Vec<(u8, u64)>, Vec<(u8, u64)>) -> bool);
}

#[test]
fn two_sides_agree_after_an_exchange() {
    fn property(a: Vec<(u8, u64, bool)>, b: Vec<(u8, u64, bool)>) -> bool {
        let fill = |offers: &[(u8, u64, bool)]| {
            let mut documents = Documents::new();
            for &(name, revision, removed) in offers {
                let document = (!removed).then_some(());
                documents.offer(&format!("s{name}").into(), revision.max(1), document);
            }
            documents
        };
        let (mut one, mut other) = (fill(&a), fill(&b));
        let buckets = one.differing_buckets(other.sums());
        let digest = other.digest_in(buckets);
        let copy = |from: &Documents<()>, to: &mut Documents<()>, names: Vec<Rc<str>>| {
            for name in names {
                let entry = from.entry(&name).unwrap();
                to.offer(&name, entry.revision, entry.document);
            }
        };
        let missing = one.missing(&digest);
        let newer = one.newer_in(buckets, &digest);
        copy(&other, &mut one, missing);
        copy(&one, &mut other, newer);
        one.sums() == other.sums() && one.differing_buckets(other.sums()) == 0
    }
    check(property as fn(Vec<(u8, u64, bool)>, Vec<(u8, u64, bool)>) -> bool);
}
