//! What a caller sends that opens many streams of HTTP/2 and leaves all of them open.

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const SETTINGS_FRAME: u8 = 4;
const HEADERS_FRAME: u8 = 1;
const CONTINUATION_FRAME: u8 = 9;
const END_HEADERS: u8 = 4;
/// Largest frame that a server accepts unless it says otherwise, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;
/// Number of streams.
const STREAMS: u32 = 100;
/// Part of the largest header that each stream sends, so that no limit refuses it.
const HEADER_DIVISOR: usize = 2;
/// Largest number that fits in the prefix of a string's length.
const PREFIX_MAX: usize = 127;

/// Returns the bytes of a connection with open streams. The headers of each have these fields and about half of
/// `header_bytes`.
pub fn open_streams(path: &str, header_bytes: usize, fields: &[(&str, &str)]) -> Vec<u8> {
    let filler = "x".repeat(header_bytes / HEADER_DIVISOR);
    let first = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "crowd.example"),
    ];
    let last = [("x-filler", filler.as_str())];
    let fields = first.iter().chain(fields).chain(&last);
    let block: Vec<u8> = fields.flat_map(|(name, value)| field(name, value)).collect();
    let mut bytes = [PREFACE, &frame(SETTINGS_FRAME, 0, 0, &[])].concat();
    for stream in (1..).step_by(2).take(STREAMS as usize) {
        let mut kind = HEADERS_FRAME;
        let mut parts = block.chunks(MAX_FRAME_BYTES).peekable();
        while let Some(part) = parts.next() {
            let flags = if parts.peek().is_none() { END_HEADERS } else { 0 };
            bytes.extend(frame(kind, flags, stream, part));
            kind = CONTINUATION_FRAME;
        }
    }
    bytes
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let [_, length @ ..] = (payload.len() as u32).to_be_bytes();
    [&length[..], &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Returns a header field that is not to be kept in the table of fields.
fn field(name: &str, value: &str) -> Vec<u8> {
    [vec![0], text(name), text(value)].concat()
}

/// Returns a string with its length, without compression.
fn text(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    if text.len() < PREFIX_MAX {
        bytes.push(text.len() as u8);
    } else {
        bytes.push(PREFIX_MAX as u8);
        let mut rest = text.len() - PREFIX_MAX;
        while rest >= 128 {
            bytes.push((rest % 128) as u8 | 0x80);
            rest /= 128;
        }
        bytes.push(rest as u8);
    }
    bytes.extend_from_slice(text.as_bytes());
    bytes
}
