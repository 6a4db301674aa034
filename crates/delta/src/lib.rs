//! Encodings in which hosts pass a large row on to each other.
//!
//! A host that has an earlier content of the row gets the difference to the newest one, whose size
//! follows that of the change; any other host gets the newest content compressed. A difference names
//! its base and its target by their digests and is applied to no other base.
//!
//! ```
//! use bv_delta::{History, digest};
//!
//! let mut history = History::default();
//! history.replace("routes: a, b".into());
//! let base = digest(b"routes: a, b");
//! history.replace("routes: a, b, c".into());
//!
//! let patches = history.since(base).unwrap();
//! let newest = patches.iter().try_fold("routes: a, b".into(), |body: bytes::Bytes, patch| {
//!     patch.apply(&body, 1 << 10)
//! });
//! assert_eq!(newest.unwrap(), "routes: a, b, c");
//! ```

mod codec;
mod error;
mod history;
mod patch;

pub use codec::{compress, decompress, digest};
pub use error::DeltaError;
pub use history::History;
pub use patch::Patch;
