//! Decodes the bytes of a file and splits them into lines and cells.

use csv::{ReaderBuilder, StringRecord};
use encoding_rs::{UTF_8, WINDOWS_1252};

use crate::fault::{FaultKind, FaultList, SheetPosition, quote};
use crate::format::{DELIMITERS, HEADER_WORD};
use crate::rules::RowCount;

const BYTE_ORDER_MARK: char = '\u{feff}';
const UTF_16_MARKS: [[u8; 2]; 2] = [[0xff, 0xfe], [0xfe, 0xff]];
const ACCEPTED_ENCODING: &str = "text in UTF-8 or Windows-1252";

/// One line that is not blank.
pub(crate) struct TextLine {
    pub(crate) number: u32,
    pub(crate) cells: Vec<Box<str>>,
}

impl TextLine {
    /// The cell at an index from 0; cells after the end are blank.
    pub(crate) fn cell(&self, index: usize) -> &str {
        self.cells.get(index).map_or("", |cell| cell)
    }

    pub(crate) fn position(&self, index: usize) -> SheetPosition {
        SheetPosition::new(self.number, to_column(index))
    }
}

/// The column number, from 1, of an index from 0.
fn to_column(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX).saturating_add(1)
}

/// Decodes UTF-8, or Windows-1252 if the bytes are not valid UTF-8.
pub(crate) fn decode(bytes: &[u8], faults: &mut FaultList) -> Option<String> {
    if UTF_16_MARKS.iter().any(|mark| bytes.starts_with(mark)) {
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

/// The byte index of the first character that occurs in no text file, with that character.
fn find_control_character(line: &str) -> Option<(usize, char)> {
    // Bytes that Windows-1252 leaves undefined decode to control characters too.
    line.char_indices().find(|(_, character)| character.is_control() && *character != '\t')
}

fn describe_control_character(character: char) -> String {
    format!("the control character U+{:04X}", u32::from(character))
}

/// The lines with their numbers from 1; a line ends with LF, CRLF or CR.
fn split_lines(text: &str) -> impl Iterator<Item = (u32, &str)> {
    let mut rest = Some(text);
    let lines = std::iter::from_fn(move || {
        let remaining = rest?;
        let Some(end) = remaining.find(['\r', '\n']) else {
            rest = None;
            return Some(remaining);
        };
        let width = if remaining[end..].starts_with("\r\n") { 2 } else { 1 };
        rest = Some(&remaining[end + width..]);
        Some(&remaining[..end])
    });
    (1..=u32::MAX).zip(lines)
}

/// The lines of a file that are not blank, split into cells.
pub(crate) struct TextTable {
    pub(crate) lines: Vec<TextLine>,
    /// Whether every line could be split.
    pub(crate) is_whole: bool,
    /// The end of the file.
    pub(crate) end: SheetPosition,
}

impl TextTable {
    /// Splits the text; `None` if it does not start with a header line or has too many lines.
    pub(crate) fn read(text: &str, max_lines: RowCount, faults: &mut FaultList) -> Option<Self> {
        let delimiter = find_delimiter(text, faults)?;
        let mut table = Self { lines: Vec::new(), is_whole: true, end: SheetPosition::new(1, 1) };
        for (number, line) in split_lines(text) {
            table.end = SheetPosition::new(number, 1);
            match split_cells(line, delimiter) {
                LineCells::Blank => {}
                LineCells::Filled(cells) => table.lines.push(TextLine { number, cells }),
                LineCells::OpenQuote => {
                    let accepted = "quotes in pairs, and no line break inside a cell";
                    faults.push(table.end, FaultKind::OpenQuote, quote(line), accepted);
                    table.is_whole = false;
                }
                LineCells::NotText { index, character } => {
                    let position = SheetPosition::new(number, to_column(index));
                    let found = describe_control_character(character);
                    faults.push(position, FaultKind::NotText, found, ACCEPTED_ENCODING);
                    table.is_whole = false;
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

/// The delimiter of the file: the character after the first word of the header line.
fn find_delimiter(text: &str, faults: &mut FaultList) -> Option<u8> {
    let is_filler = |character: char| {
        is_blank_character(character) || DELIMITERS.contains(&character) || character == '"'
    };
    let is_filled = |line: &str| !line.trim_matches(is_filler).is_empty();
    let (number, line) = split_lines(text).find(|(_, line)| is_filled(line)).unwrap_or((1, ""));
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
    let word = line.get(..HEADER_WORD.len())?;
    let rest = line[HEADER_WORD.len()..].trim_start_matches(['"', ' ']);
    let delimiter = rest.chars().next()?;
    let is_known = word.eq_ignore_ascii_case(HEADER_WORD) && DELIMITERS.contains(&delimiter);
    if is_known { u8::try_from(delimiter).ok() } else { None }
}

enum LineCells {
    Blank,
    Filled(Vec<Box<str>>),
    OpenQuote,
    /// A control character in the cell with the index.
    NotText {
        index: usize,
        character: char,
    },
}

/// Splits one line, so that a stray quote cannot join the following rows into one cell.
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

/// Removes spaces around a line but keeps tabs, which may delimit blank cells.
fn trim_spaces(line: &str) -> &str {
    line.trim_matches(|character: char| character != '\t' && is_blank_character(character))
}

/// Removes white space of every kind, such as the non-breaking spaces of spreadsheets.
fn trim(cell: &str) -> &str {
    cell.trim_matches(is_blank_character)
}

fn is_blank_character(character: char) -> bool {
    // A byte-order mark and a zero-width space are invisible but not white space in Unicode.
    character.is_whitespace() || matches!(character, BYTE_ORDER_MARK | '\u{200b}')
}
