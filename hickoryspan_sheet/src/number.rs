//! Numbers with either decimal separator; a number with two readings is refused.

/// Longest accepted number in characters; the canonical form of every value in range is shorter.
const MAX_NUMBER_CHARACTERS: usize = 40;
/// Digits between two thousands separators.
const GROUP_DIGITS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum NumberFault {
    Malformed,
    Ambiguous { decimal: f64, grouped: f64 },
}

/// Reads digits with an optional decimal separator and optional thousands separators.
pub(crate) fn read_number(text: &str) -> Result<f64, NumberFault> {
    if text.chars().count() > MAX_NUMBER_CHARACTERS {
        return Err(NumberFault::Malformed);
    }
    let (parts, separators) = split_digits(text).ok_or(NumberFault::Malformed)?;
    let whole = || to_number(&parts.concat());
    let decimal = || {
        let (fraction, groups) = parts.split_last().ok_or(NumberFault::Malformed)?;
        to_number(&format!("{}.{fraction}", groups.concat()))
    };
    let Some((&last, earlier)) = separators.split_last() else {
        return whole();
    };
    let can_be_decimal = matches!(last, '.' | ',') && !earlier.contains(&last);
    if earlier.is_empty() {
        return match (can_be_decimal, is_grouped(&parts)) {
            (true, true) => Err(NumberFault::Ambiguous { decimal: decimal()?, grouped: whole()? }),
            (true, false) => decimal(),
            (false, true) => whole(),
            (false, false) => Err(NumberFault::Malformed),
        };
    }
    if !earlier.windows(2).all(|pair| pair[0] == pair[1]) {
        return Err(NumberFault::Malformed);
    }
    if can_be_decimal && is_grouped(&parts[..parts.len() - 1]) {
        return decimal();
    }
    if earlier[0] == last && is_grouped(&parts) {
        return whole();
    }
    Err(NumberFault::Malformed)
}

/// The shortest text that reads back to the same number in exactly one way.
pub(crate) fn write_number(value: f64) -> String {
    let text = value.to_string();
    match read_number(&text) {
        // A fourth decimal excludes the reading as a thousands separator.
        Err(NumberFault::Ambiguous { .. }) => format!("{text}0"),
        _ => text,
    }
}

/// Splits at separators; spaces of every kind count as one separator character.
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
    let is_first = (1..=GROUP_DIGITS).contains(&first.len()) && !first.starts_with('0');
    is_first && rest.iter().all(|part| part.len() == GROUP_DIGITS)
}

fn to_number(digits: &str) -> Result<f64, NumberFault> {
    digits.parse().map_err(|_| NumberFault::Malformed)
}
