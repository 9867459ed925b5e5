//! Tests of socket.rs.

use super::*;
use rstest::rstest;

/// A daemon ended where `socket()` failed for a moment at its start.
#[rstest]
#[case::short_of_buffers(ENOBUFS, 3, true)]
#[case::short_of_descriptors(ENFILE, 20, true)]
#[case::short_of_memory(12, 2, true)]
#[case::to_be_tried_again(11, 1, true)]
#[case::interrupted(4, 1, true)]
#[case::address_in_use(98, 1, false)]
#[case::no_permission(13, 1, false)]
fn a_socket_is_opened_again_where_the_system_is_short_of_something(
    #[case] error: i32,
    #[case] failures: u32,
    #[case] is_opened: bool,
) {
    let mut attempts = 0;
    let result = open_with_retries(|| {
        attempts += 1;
        if attempts <= failures {
            Err(io::Error::from_raw_os_error(error))
        } else {
            Ok(())
        }
    });
    assert_eq!(result.is_ok(), is_opened);
    assert_eq!(attempts, if is_opened { failures + 1 } else { 1 });
}

#[test]
fn a_socket_that_is_refused_for_long_is_an_error() {
    let result = open_with_retries(|| Err::<(), _>(io::Error::from_raw_os_error(ENOBUFS)));
    assert_eq!(
        result.map_err(|error| error.raw_os_error()),
        Err(Some(ENOBUFS))
    );
}

#[test]
fn only_a_want_of_descriptors_counts_as_one() {
    assert!(is_out_of_descriptors(&io::Error::from_raw_os_error(EMFILE)));
    assert!(is_out_of_descriptors(&io::Error::from_raw_os_error(ENFILE)));
    let out_of_memory = 12;
    assert!(!is_out_of_descriptors(&io::Error::from_raw_os_error(
        out_of_memory
    )));
}
