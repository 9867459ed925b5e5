//! Tests of the frame protocol: decoding of frames and answers, and rejection of invalid ones.

use super::*;

fn frame_of(kind: u8, content: &str) -> Vec<u8> {
    frame(kind, content.as_bytes())
}

#[test]
fn a_frame_is_incomplete_until_its_last_byte() {
    let bytes = frame_of(ANSWER, "q1.3 served 1 -\nvalue");
    for end in 0..bytes.len() {
        assert!(
            matches!(first_frame(&bytes[..end]), FirstFrame::Incomplete),
            "{end} bytes"
        );
    }
    let with_more = [&bytes[..], b"more"].concat();
    let FirstFrame::Complete {
        frame: ReceivedFrame::Answer(content),
        total_bytes,
    } = first_frame(&with_more)
    else {
        panic!("expected an answer frame");
    };
    assert_eq!(content, b"q1.3 served 1 -\nvalue");
    assert_eq!(total_bytes, bytes.len());
}

#[test]
fn a_frame_without_content_or_beyond_the_limit_is_rejected_by_its_length() {
    for length in [0, MAX_FRAME_BYTES as u32 + 1, u32::MAX] {
        assert!(
            matches!(
                first_frame(&length.to_be_bytes()),
                FirstFrame::InvalidLength
            ),
            "{length}"
        );
    }
    let longest = (MAX_FRAME_BYTES as u32).to_be_bytes();
    assert!(matches!(first_frame(&longest), FirstFrame::Incomplete));
}

#[test]
fn received_frames_are_classified_by_kind() {
    let kind_of = |kind| match first_frame(&frame_of(kind, "")) {
        FirstFrame::Complete { frame, .. } => match frame {
            ReceivedFrame::Answer(_) => "answer",
            ReceivedFrame::Error => "error",
            ReceivedFrame::Unknown => "unknown",
        },
        FirstFrame::Incomplete | FirstFrame::InvalidLength => "no frame",
    };
    assert_eq!(
        [kind_of(b'a'), kind_of(b'e'), kind_of(b'x')],
        ["answer", "error", "unknown"]
    );
}

/// A malformed load report is dropped, and does not make the answer malformed.
#[rstest::rstest]
#[case::without_load("q1.3 served 0.5 -\nvalue", Some("value"), None)]
#[case::with_load("q1.3 served 1 a=1,b=2.5\nvalue", Some("value"), Some("a=1,b=2.5"))]
#[case::malformed_load("q1.3 served 1 a=one\nvalue", Some("value"), None)]
#[case::infinite_load("q1.3 served 1 a=inf\nvalue", Some("value"), None)]
#[case::empty_value("q1.3 broke - -\n", Some(""), None)]
#[case::no_line_end("q1.3 served 1 -", None, None)]
#[case::unknown_result("q1.3 perhaps 1 -\n", None, None)]
#[case::malformed_score("q1.3 served high -\n", None, None)]
#[case::too_few_fields("q1.3 served 1\n", None, None)]
fn an_answer_is_decoded_unless_it_is_malformed(
    #[case] content: &str,
    #[case] value: Option<&str>,
    #[case] load: Option<&str>,
) {
    let answer = decode_answer(content.as_bytes());
    assert_eq!(answer.as_ref().map(|answer| answer.value), value);
    assert_eq!(answer.and_then(|answer| answer.load), load);
    assert_eq!(answered_part_id(content.as_bytes()), Some("q1.3"));
}

#[test]
fn a_result_maps_to_a_different_outcome_for_a_pre_check() {
    let outcomes = |result: PartResult| (result.outcome(false), result.outcome(true));
    assert_eq!(
        outcomes(PartResult::Served),
        (Some(Outcome::Ok), Some(Outcome::Error))
    );
    assert_eq!(outcomes(PartResult::NoMatch), (None, Some(Outcome::Ok)));
    assert_eq!(
        outcomes(PartResult::MayMatch),
        (None, Some(Outcome::Matches))
    );
    assert_eq!(
        outcomes(PartResult::Skipped),
        (Some(Outcome::Rejected), Some(Outcome::Rejected))
    );
    assert_eq!(
        outcomes(PartResult::Failed),
        (Some(Outcome::Error), Some(Outcome::Error))
    );
}
