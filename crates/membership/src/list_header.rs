//! Parses the first two fields of a list that is still being received, so that a snapshot of the known version can be
//! detected before the rest has arrived.

/// Number of bytes from the start of a list that are searched for its first two fields, with any white space between.
const MAX_HEADER_BYTES: usize = 256;
const VERSION: &[u8] = b"rev";
const IS_SNAPSHOT: &[u8] = b"all";

/// A field of a JSON object whose value is a number or a literal, as unparsed bytes.
struct Field<'a> {
    name: &'a [u8],
    value: &'a [u8],
}

/// Reads fields from the start of a JSON object that may be truncated at any byte.
struct FieldScanner<'a> {
    rest: &'a [u8],
}

impl<'a> FieldScanner<'a> {
    /// Skips white space and then `byte`. Returns `None` if the next byte is another one.
    fn skip(&mut self, byte: u8) -> Option<()> {
        self.rest = self.rest.trim_ascii_start().strip_prefix(&[byte])?;
        Some(())
    }

    /// Returns the bytes before the next `end` and skips both. Returns `None` if there is no `end`.
    fn take_until(&mut self, end: u8) -> Option<&'a [u8]> {
        let length = self.rest.iter().position(|byte| *byte == end)?;
        let taken = &self.rest[..length];
        self.rest = &self.rest[length + 1..];
        Some(taken)
    }

    /// Reads the next field. Returns `None` unless a comma follows: without one, a number may still be incomplete.
    fn field(&mut self) -> Option<Field<'a>> {
        self.skip(b'"')?;
        let name = self.take_until(b'"')?;
        self.skip(b':')?;
        let value = self.take_until(b',')?.trim_ascii();
        Some(Field { name, value })
    }
}

/// Returns the version of the snapshot whose text begins with `text`. Returns `None` for a list of changes, if the
/// version and the snapshot flag are not the first two fields, or if these fields are not complete yet.
pub(crate) fn snapshot_version(text: &[u8]) -> Option<u64> {
    let mut scanner = FieldScanner { rest: &text[..text.len().min(MAX_HEADER_BYTES)] };
    scanner.skip(b'{')?;
    let fields = [scanner.field()?, scanner.field()?];
    let value_of = |name: &[u8]| fields.iter().find(|field| field.name == name).map(|field| field.value);
    if value_of(IS_SNAPSHOT)? != b"true" {
        return None;
    }
    parse_unsigned(value_of(VERSION)?)
}

fn parse_unsigned(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
