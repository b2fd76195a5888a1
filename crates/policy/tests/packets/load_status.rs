//! What the load decisions show to operators.

use foxtailhinge_policy::packets::{
    AdmissionReason,
    Rejection, //
};
use rstest::rstest;
use std::net::Ipv4Addr;

fn reason(place: f64, admitted: f64, is_heavy: bool, is_admitted: bool) -> AdmissionReason {
    AdmissionReason {
        caller: Ipv4Addr::new(10, 0, 0, 7),
        service: "syncdesk-api".into(),
        priority: 2,
        place,
        admitted,
        is_heavy,
        is_admitted,
    }
}

/// An operator who is told the wrong cause looks at the service instead of the caller or the VM.
#[rstest]
#[case::admitted(0.4, 0.5, false, true, None)]
#[case::heavy_but_admitted(0.4, 0.5, true, true, None)]
#[case::kept_beyond_the_share(0.6, 0.5, false, true, None)]
#[case::overload(0.6, 0.5, false, false, Some(Rejection::Overload))]
#[case::heavy(0.6, 0.5, true, false, Some(Rejection::HeavyCaller))]
#[case::own_delay(0.4, 0.5, false, false, Some(Rejection::OwnDelay))]
#[case::heavy_at_own_delay(0.9, 1.0, true, false, Some(Rejection::OwnDelay))]
fn the_rejection_names_its_cause(
    #[case] place: f64,
    #[case] admitted: f64,
    #[case] is_heavy: bool,
    #[case] is_admitted: bool,
    #[case] rejection: Option<Rejection>,
) {
    let reason = reason(place, admitted, is_heavy, is_admitted);
    assert_eq!(reason.rejection(), rejection);
}

/// The flows that leave are the last of the admitted ones, not the last of all: with a small admitted share none would
/// be shown as leaving.
#[rstest]
#[case::none_leave(1.0, 1.0, 0.0, false)]
#[case::early_place(0.7, 1.0, 0.2, false)]
#[case::late_place(0.9, 1.0, 0.2, true)]
#[case::late_among_few(0.45, 0.5, 0.2, true)]
#[case::early_among_few(0.25, 0.5, 0.2, false)]
#[case::kept_beyond_the_share(0.6, 0.5, 0.2, false)]
fn the_last_admitted_places_leave_the_zone(
    #[case] place: f64,
    #[case] admitted: f64,
    #[case] leaving: f64,
    #[case] leaves: bool,
) {
    assert_eq!(
        reason(place, admitted, false, true).leaves_zone(leaving),
        leaves
    );
    assert!(!reason(place, admitted, false, false).leaves_zone(leaving));
}
