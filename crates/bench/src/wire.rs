//! Size and CPU time of frames between entry hosts.

use bv_wire::frame::Body;
use bv_wire::{Allowance, Frame, TakeAllowance};
use prost::Message;

use crate::measure::{Figure, micros};

const FRAMES: u64 = 100_000;
/// Size of the length prefix of a frame.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Measures the size of an exchange about an allowance, and encoding and decoding of its first frame.
pub fn measure() -> Vec<Figure> {
    let take = Frame {
        id: 1_000_000,
        body: Some(Body::TakeAllowance(TakeAllowance {
            team: "team-6700".to_owned(),
            requests: 3,
            tokens: 20_000,
        })),
    };
    let allowance = Frame {
        id: 1_000_000,
        body: Some(Body::Allowance(Allowance {
            requests: 3,
            tokens: 20_000,
        })),
    };
    let bytes = take.encoded_len() + allowance.encoded_len() + 2 * LENGTH_PREFIX_BYTES;
    let time = micros(FRAMES, |_| Frame::decode(take.encode_to_vec().as_slice()));
    vec![
        Figure::new("wire allowance exchange", bytes as f64, "bytes"),
        Figure::new("wire frame encode and decode", time, "us"),
    ]
}
