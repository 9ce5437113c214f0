//! The first fields of a list that is still on its way: enough to see that it brings nothing new, before the rest comes.

/// The longest header that is looked at: two short fields, in any layout.
const LONGEST_HEADER: usize = 256;

/// Reads fields from the front of an object.
struct Cursor<'a> {
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// Goes past this byte, and blanks before it.
    fn skip(&mut self, byte: u8) -> Option<()> {
        self.rest = self.rest.trim_ascii_start().strip_prefix(&[byte])?;
        Some(())
    }

    /// The name of the next field, up to its value.
    fn name(&mut self) -> Option<&'a [u8]> {
        self.skip(b'"')?;
        let end = self.rest.iter().position(|byte| *byte == b'"')?;
        let (name, rest) = self.rest.split_at(end);
        self.rest = rest;
        self.skip(b'"')?;
        self.skip(b':')?;
        Some(name)
    }

    /// A plain value, up to the comma that must follow: the end of what has come is not the end of a number.
    fn plain(&mut self) -> Option<&'a [u8]> {
        let end = self.rest.iter().position(|byte| *byte == b',')?;
        let (value, rest) = self.rest.split_at(end);
        self.rest = rest;
        self.skip(b',')?;
        Some(value.trim_ascii())
    }
}

/// The version of a whole list whose text begins like this. None for changes, where the two fields do not come first, and
/// while too little has come.
pub(crate) fn whole_list_version(text: &[u8]) -> Option<u64> {
    let mut cursor = Cursor { rest: &text[..text.len().min(LONGEST_HEADER)] };
    cursor.skip(b'{')?;
    let fields = [(cursor.name()?, cursor.plain()?), (cursor.name()?, cursor.plain()?)];
    let field = |wanted: &[u8]| fields.iter().find(|(name, _)| *name == wanted).map(|(_, value)| *value);
    if field(b"all")? != b"true" {
        return None;
    }
    let version = field(b"rev")?;
    version.iter().all(u8::is_ascii_digit).then_some(())?;
    std::str::from_utf8(version).ok()?.parse().ok()
}
