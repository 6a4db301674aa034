//! Compression with and without a base.

use bv_types::Fingerprint;
use bytes::Bytes;
use zstd::zstd_safe::{CCtx, CParameter, DCtx, compress_bound, get_frame_content_size};

use crate::DeltaError;

/// Level of the compressor, among its fastest.
const LEVEL: i32 = 1;
/// Smallest and largest window of the compressor, as powers of two. The decompressor accepts windows of up
/// to 128 MB by default.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 27;

/// Digest of a content.
pub fn digest(content: &[u8]) -> Fingerprint {
    Fingerprint::digest([content])
}

/// Compresses a content.
///
/// # Errors
/// The library fails, as when it gets no memory.
pub fn compress(content: &[u8]) -> Result<Bytes, DeltaError> {
    encode(&[], content)
}

/// Restores a compressed content of at most `limit` bytes.
///
/// # Errors
/// The encoding is damaged, or its content is larger than `limit`.
pub fn decompress(encoded: &[u8], limit: usize) -> Result<Bytes, DeltaError> {
    decode(&[], encoded, limit)
}

/// Compresses a content as the difference to `base`, which may be empty.
pub(crate) fn encode(base: &[u8], content: &[u8]) -> Result<Bytes, DeltaError> {
    let error = |code| DeltaError::codec("compress", code);
    let mut cx = CCtx::create();
    // The window reaches back to the start of the base.
    let reach = (base.len() + content.len()).max(1).ilog2() + 1;
    let parameters = [
        CParameter::CompressionLevel(LEVEL),
        CParameter::WindowLog(reach.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)),
        // The usual match finder of a fast level forgets most of a base of some hundred kilobytes.
        CParameter::EnableLongDistanceMatching(!base.is_empty()),
    ];
    for parameter in parameters {
        cx.set_parameter(parameter).map_err(error)?;
    }
    if !base.is_empty() {
        cx.ref_prefix(base).map_err(error)?;
    }
    let mut buf = Vec::with_capacity(compress_bound(content.len()));
    cx.compress2(&mut buf, content).map_err(error)?;
    // The buffer has room for a content that cannot be compressed, and the encoding is kept for some time.
    Ok(Bytes::copy_from_slice(&buf))
}

/// Restores a content of at most `limit` bytes from its difference to `base`.
pub(crate) fn decode(base: &[u8], encoded: &[u8], limit: usize) -> Result<Bytes, DeltaError> {
    let error = |code| DeltaError::codec("decompress", code);
    let size = get_frame_content_size(encoded).ok().flatten();
    let size = size.ok_or(DeltaError::SizeUnknown)?;
    if size > limit as u64 {
        return Err(DeltaError::TooLarge { size, limit });
    }
    let mut cx = DCtx::create();
    if !base.is_empty() {
        cx.ref_prefix(base).map_err(error)?;
    }
    let mut buf = Vec::with_capacity(size as usize);
    cx.decompress(&mut buf, encoded).map_err(error)?;
    Ok(Bytes::from(buf))
}
