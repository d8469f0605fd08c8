//! Parses numbers with a decimal point or a decimal comma and rejects ambiguous ones.

/// Maximum length of a number. The canonical form of every value in range is shorter.
const MAX_NUMBER_CHARACTERS: usize = 40;
/// Number of digits between two thousands separators.
const GROUP_DIGITS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NumberError {
    Malformed,
    /// The only separator can be a decimal or a thousands separator.
    Ambiguous {
        decimal: f64,
        grouped: f64,
    },
}

/// Parses digits with optional thousands separators and an optional decimal separator.
pub(crate) fn read_number(text: &str) -> Result<f64, NumberError> {
    if text.chars().count() > MAX_NUMBER_CHARACTERS {
        return Err(NumberError::Malformed);
    }
    let (parts, separators) = split_digits(text).ok_or(NumberError::Malformed)?;
    let whole = || to_number(&parts.concat());
    let decimal = || {
        let (fraction, groups) = parts.split_last().ok_or(NumberError::Malformed)?;
        to_number(&format!("{}.{fraction}", groups.concat()))
    };
    let Some((&last, earlier)) = separators.split_last() else {
        return whole();
    };
    let can_be_decimal = matches!(last, '.' | ',') && !earlier.contains(&last);
    if earlier.is_empty() {
        return match (can_be_decimal, is_grouped(&parts)) {
            (true, true) => Err(NumberError::Ambiguous { decimal: decimal()?, grouped: whole()? }),
            (true, false) => decimal(),
            (false, true) => whole(),
            (false, false) => Err(NumberError::Malformed),
        };
    }
    if !earlier.windows(2).all(|pair| pair[0] == pair[1]) {
        return Err(NumberError::Malformed);
    }
    if can_be_decimal && is_grouped(&parts[..parts.len() - 1]) {
        return decimal();
    }
    if earlier[0] == last && is_grouped(&parts) {
        return whole();
    }
    Err(NumberError::Malformed)
}

/// Formats a number as the shortest text that parses back to it unambiguously.
pub(crate) fn write_number(value: f64) -> String {
    let text = value.to_string();
    match read_number(&text) {
        // With a fourth decimal, the separator cannot be a thousands separator.
        Err(NumberError::Ambiguous { .. }) => format!("{text}0"),
        _ => text,
    }
}

/// Splits a number into its digit groups and separators. All white space characters count as the same separator.
/// Returns `None` for other characters and for empty groups.
fn split_digits(text: &str) -> Option<(Vec<String>, Vec<char>)> {
    let mut parts = vec![String::new()];
    let mut separators = Vec::new();
    for character in text.chars() {
        match character {
            '0'..='9' => parts.last_mut()?.push(character),
            '.' | ',' | '\'' => separators.push(character),
            _ if character.is_whitespace() => separators.push(' '),
            _ => return None,
        }
        if parts.len() <= separators.len() {
            parts.push(String::new());
        }
    }
    parts.iter().all(|part| !part.is_empty()).then_some((parts, separators))
}

fn is_grouped(parts: &[String]) -> bool {
    let Some((first, rest)) = parts.split_first() else {
        return false;
    };
    let is_first_valid = (1..=GROUP_DIGITS).contains(&first.len()) && !first.starts_with('0');
    is_first_valid && rest.iter().all(|part| part.len() == GROUP_DIGITS)
}

fn to_number(digits: &str) -> Result<f64, NumberError> {
    digits.parse().map_err(|_| NumberError::Malformed)
}
