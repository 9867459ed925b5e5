//! Tests of the shared socket functions.

use super::*;
use rstest::rstest;

/// Guards against a daemon that exits because `socket()` fails temporarily at its start.
#[rstest]
#[case::no_buffers(ENOBUFS, 3, true)]
#[case::no_descriptors(ENFILE, 20, true)]
#[case::no_memory(12, 2, true)]
#[case::would_block(11, 1, true)]
#[case::interrupted(4, 1, true)]
#[case::address_in_use(98, 1, false)]
#[case::no_permission(13, 1, false)]
fn opening_a_socket_is_retried_after_temporary_errors_only(
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
fn a_socket_that_cannot_be_opened_within_the_retries_is_an_error() {
    let result = open_with_retries(|| Err::<(), _>(io::Error::from_raw_os_error(ENOBUFS)));
    assert_eq!(
        result.map_err(|error| error.raw_os_error()),
        Err(Some(ENOBUFS))
    );
}

#[test]
fn only_descriptor_limits_count_as_out_of_descriptors() {
    assert!(is_out_of_descriptors(&io::Error::from_raw_os_error(EMFILE)));
    assert!(is_out_of_descriptors(&io::Error::from_raw_os_error(ENFILE)));
    let out_of_memory = 12;
    assert!(!is_out_of_descriptors(&io::Error::from_raw_os_error(
        out_of_memory
    )));
}
