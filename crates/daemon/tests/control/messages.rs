//! Messages on links pass through envelopes unchanged, whatever the number and the names of their items.

use foxtailhinge::links::{
    message::{
        decode,
        encode,
        to_bucket_sums,
        Freshness,
        Revision,
        Sums, //
    },
    LinkReply,
    LinkRequest, //
};
use foxtailhinge_policy::rendezvous::BUCKETS;
use foxtailhinge_wire::{
    envelope::PeerKeys,
    message::{
        DocumentRecord,
        MemberState,
        MemberUpdate, //
    },
};
use rstest::rstest;

fn member(_: usize) -> MemberUpdate {
    MemberUpdate {
        vm: "v".to_owned(),
        zone: "z".to_owned(),
        relay: "127.0.0.1:70".parse().unwrap(),
        control: "127.0.0.1:71".parse().unwrap(),
        incarnation: 1,
        state: MemberState::Alive,
        version: 1,
    }
}

fn revision(_: usize) -> Revision {
    Revision {
        service: "s".to_owned(),
        in_force: 1,
        seen: 1,
    }
}

fn removal(_: usize) -> DocumentRecord {
    DocumentRecord {
        service: "s".to_owned(),
        revision: 1,
        text: None,
    }
}

fn sums(n: usize) -> LinkRequest {
    let mut sums = [0; BUCKETS];
    sums.iter_mut().take(n).for_each(|sum| *sum = 1);
    LinkRequest::Compare(Box::new(Sums {
        documents: to_bucket_sums(&sums),
        members: to_bucket_sums(&sums),
        freshness: Freshness {
            synced: 1,
            age_ms: None,
            in_service: true,
        },
    }))
}

fn passes(request: &LinkRequest) -> bool {
    let keys = PeerKeys::new("test", vec![(0, [7; 32])]);
    let sealed = keys.seal(1, 2, 3, &encode(request));
    let opened = keys.open::<Vec<u8>>(3, &sealed).unwrap();
    decode::<LinkRequest>(&opened.message).as_ref() == Some(request)
}

#[rstest]
#[case::sums(sums)]
#[case::members(|n| LinkRequest::Members((0..n).map(member).collect()))]
#[case::revisions(|n| LinkRequest::Announce((0..n).map(revision).collect()))]
#[case::removals(|n| LinkRequest::Push((0..n).map(removal).collect()))]
#[case::names(|n| LinkRequest::Fetch((0..n).map(|_| "s".to_owned()).collect()))]
fn lists_of_any_length_pass(#[case] request: fn(usize) -> LinkRequest) {
    let stopped: Vec<_> = (0..600).filter(|&n| !passes(&request(n))).collect();
    assert!(stopped.is_empty(), "lengths that do not pass: {stopped:?}");
}

#[test]
fn a_reply_does_not_decode_as_a_request() {
    let body = encode(&LinkReply::Busy(u64::MAX));
    assert_eq!(decode::<LinkRequest>(&body), None);
}

#[test]
fn a_length_beyond_the_message_allocates_no_memory() {
    let names = LinkRequest::Fetch(vec!["s".to_owned()]);
    let mut body = encode(&names);
    body[1..].fill(0xfd);
    assert_eq!(decode::<LinkRequest>(&body), None);
}
