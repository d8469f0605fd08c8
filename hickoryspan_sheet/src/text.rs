//! Decodes a file and splits it into lines and cells.

use csv::{ReaderBuilder, StringRecord};
use encoding_rs::{UTF_8, WINDOWS_1252};

use crate::fault::{FaultKind, FaultList, SheetPosition, quote};
use crate::format::{DELIMITERS, HEADER_KEYWORD};
use crate::rules::RowCount;

const BYTE_ORDER_MARK: char = '\u{feff}';
const UTF_16_BYTE_ORDER_MARKS: [[u8; 2]; 2] = [[0xff, 0xfe], [0xfe, 0xff]];
const ACCEPTED_ENCODING: &str = "text in UTF-8 or Windows-1252";

/// A line that is not blank.
pub(crate) struct TextLine {
    /// Line number, starting at 1.
    pub(crate) number: u32,
    pub(crate) cells: Vec<Box<str>>,
}

impl TextLine {
    /// Returns the cell at a zero-based index, or a blank cell if the line has fewer cells.
    pub(crate) fn cell(&self, index: usize) -> &str {
        self.cells.get(index).map_or("", |cell| cell)
    }

    pub(crate) fn position(&self, index: usize) -> SheetPosition {
        SheetPosition::new(self.number, column_number(index))
    }
}

/// Converts a zero-based cell index to a column number, which starts at 1.
fn column_number(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1)
}

/// Decodes the bytes as UTF-8, or as Windows-1252 if they are not valid UTF-8. Returns `None` for UTF-16.
pub(crate) fn decode(bytes: &[u8], faults: &mut FaultList) -> Option<String> {
    if UTF_16_BYTE_ORDER_MARKS.iter().any(|mark| bytes.starts_with(mark)) {
        let position = SheetPosition::new(1, 1);
        faults.push(position, FaultKind::NotText, "text in UTF-16", ACCEPTED_ENCODING);
        return None;
    }
    let text = match UTF_8.decode_without_bom_handling_and_without_replacement(bytes) {
        Some(text) => text,
        None => WINDOWS_1252.decode_without_bom_handling(bytes).0,
    };
    Some(text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&text).to_owned())
}

/// Finds the first control character except tabs and returns it with its byte index.
fn find_control_character(line: &str) -> Option<(usize, char)> {
    // Bytes that are undefined in Windows-1252 decode to control characters as well.
    line.char_indices().find(|(_, character)| character.is_control() && *character != '\t')
}

fn describe_control_character(character: char) -> String {
    format!("the control character U+{:04X}", u32::from(character))
}

/// Iterates over the lines and their numbers, which start at 1. A line ends with LF, CRLF or CR.
fn split_lines(text: &str) -> impl Iterator<Item = (u32, &str)> {
    let mut rest = Some(text);
    let lines = std::iter::from_fn(move || {
        let remaining = rest?;
        let Some(end) = remaining.find(['\r', '\n']) else {
            rest = None;
            return Some(remaining);
        };
        let length = if remaining[end..].starts_with("\r\n") { 2 } else { 1 };
        rest = Some(&remaining[end + length..]);
        Some(&remaining[..end])
    });
    (1..=u32::MAX).zip(lines)
}

/// The non-blank lines of a file, split into cells.
pub(crate) struct TextTable {
    pub(crate) lines: Vec<TextLine>,
    /// Whether all lines could be split into cells.
    pub(crate) is_complete: bool,
    /// Position of the last line, reported for faults at the end of the file.
    pub(crate) end: SheetPosition,
}

impl TextTable {
    /// Splits the text into lines and cells. Returns `None` if it does not start with a header line or has too many
    /// lines.
    pub(crate) fn read(text: &str, max_lines: RowCount, faults: &mut FaultList) -> Option<Self> {
        let delimiter = find_delimiter(text, faults)?;
        let mut table =
            Self { lines: Vec::new(), is_complete: true, end: SheetPosition::new(1, 1) };
        for (number, line) in split_lines(text) {
            table.end = SheetPosition::new(number, 1);
            match split_cells(line, delimiter) {
                LineCells::Blank => {}
                LineCells::Filled(cells) => table.lines.push(TextLine { number, cells }),
                LineCells::OpenQuote => {
                    let accepted = "quotes in pairs, and no line break inside a cell";
                    faults.push(table.end, FaultKind::OpenQuote, quote(line), accepted);
                    table.is_complete = false;
                }
                LineCells::NotText { index, character } => {
                    let position = SheetPosition::new(number, column_number(index));
                    let found = describe_control_character(character);
                    faults.push(position, FaultKind::NotText, found, ACCEPTED_ENCODING);
                    table.is_complete = false;
                }
            }
            if table.lines.len() > max_lines.0 as usize {
                let accepted = format!("at most {max_lines} lines that are not blank");
                faults.push(table.end, FaultKind::TooLarge, "a further line", accepted);
                return None;
            }
        }
        Some(table)
    }
}

/// Detects the delimiter of the file: the character after the first keyword of the header line.
fn find_delimiter(text: &str, faults: &mut FaultList) -> Option<u8> {
    let is_ignored = |character: char| {
        is_blank_character(character) || DELIMITERS.contains(&character) || character == '"'
    };
    let has_content = |line: &str| !line.trim_matches(is_ignored).is_empty();
    let (number, line) = split_lines(text).find(|(_, line)| has_content(line)).unwrap_or((1, ""));
    let delimiter = read_delimiter(line);
    if delimiter.is_none() {
        let position = SheetPosition::new(number, 1);
        if let Some((_, character)) = find_control_character(line) {
            let found = describe_control_character(character);
            faults.push(position, FaultKind::NotText, found, ACCEPTED_ENCODING);
            return None;
        }
        let accepted = "the header line: \"sheet\" and a semicolon, comma or tab";
        faults.push(position, FaultKind::Header, quote(line), accepted);
    }
    delimiter
}

fn read_delimiter(line: &str) -> Option<u8> {
    let line = trim(line).trim_start_matches('"');
    let word = line.get(..HEADER_KEYWORD.len())?;
    let rest = line[HEADER_KEYWORD.len()..].trim_start_matches(['"', ' ']);
    let delimiter = rest.chars().next()?;
    let is_known = word.eq_ignore_ascii_case(HEADER_KEYWORD) && DELIMITERS.contains(&delimiter);
    if is_known { u8::try_from(delimiter).ok() } else { None }
}

enum LineCells {
    Blank,
    Filled(Vec<Box<str>>),
    OpenQuote,
    /// The cell at this index contains a control character.
    NotText {
        index: usize,
        character: char,
    },
}

/// Splits a single line into cells. Lines are split one by one, so that an unmatched quote cannot merge the rows after
/// it into one cell.
fn split_cells(line: &str, delimiter: u8) -> LineCells {
    let line = trim_spaces(line);
    if let Some((end, character)) = find_control_character(line) {
        let index = line[..end].matches(char::from(delimiter)).count();
        return LineCells::NotText { index, character };
    }
    if !line.matches('"').count().is_multiple_of(2) {
        return LineCells::OpenQuote;
    }
    let mut reader = ReaderBuilder::new()
        .delimiter(delimiter)
        .has_headers(false)
        .buffer_capacity(line.len().max(1))
        .from_reader(line.as_bytes());
    let mut record = StringRecord::new();
    if !matches!(reader.read_record(&mut record), Ok(true)) {
        return LineCells::Blank;
    }
    let cells: Vec<Box<str>> = record.iter().map(|cell| trim(cell).into()).collect();
    let is_blank = cells.iter().all(|cell| cell.is_empty());
    if is_blank { LineCells::Blank } else { LineCells::Filled(cells) }
}

/// Trims the blank characters around a line except tabs, which may delimit blank cells.
fn trim_spaces(line: &str) -> &str {
    line.trim_matches(|character: char| character != '\t' && is_blank_character(character))
}

/// Trims all blank characters around a cell, including the non-breaking spaces that spreadsheets insert.
fn trim(cell: &str) -> &str {
    cell.trim_matches(is_blank_character)
}

fn is_blank_character(character: char) -> bool {
    // The byte order mark and the zero-width space are invisible, but Unicode does not class them as white space.
    character.is_whitespace() || matches!(character, BYTE_ORDER_MARK | '\u{200b}')
}
