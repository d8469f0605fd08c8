//! Compression of frames that hold lists, whose field names and addresses repeat.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::{FrameError, MAX_FRAME_BYTES};

/// Compresses the bytes of a frame.
pub(crate) fn compress(bytes: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let compressed = encoder.write_all(bytes).and_then(|()| encoder.finish());
    compressed.map_err(|error| FrameError::Encode(error.to_string().into()))
}

/// Restores the bytes of a frame. Fails if they are more than [`MAX_FRAME_BYTES`].
pub(crate) fn restore(compressed: &[u8]) -> Result<Vec<u8>, FrameError> {
    let mut bytes = Vec::new();
    let mut limited = ZlibDecoder::new(compressed).take(MAX_FRAME_BYTES as u64 + 1);
    limited
        .read_to_end(&mut bytes)
        .map_err(|error| FrameError::Decode(error.to_string().into()))?;
    match bytes.len() > MAX_FRAME_BYTES {
        true => Err(FrameError::TooLarge(bytes.len())),
        false => Ok(bytes),
    }
}
