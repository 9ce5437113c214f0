//! Finds the end of a JSON object in text that comes in pieces, without parsing it. The scanner checks only what it needs
//! to find the end and to notice early that the text is broken: brackets, strings, and the order of names and values.

/// The result of a scan.
pub(crate) enum ScanResult {
    /// The object ends before the byte of this index.
    Complete(usize),
    /// The text is broken at the byte of this index.
    Broken(usize, &'static str),
    /// The object goes on past the end of the text.
    Incomplete,
}

/// Scanner state. It is kept between calls so that no byte is looked at twice.
#[derive(Debug, Default)]
pub(crate) struct ObjectScanner {
    /// How many bytes of the text have been scanned.
    scanned: usize,
    /// The opening brackets that are not closed yet.
    open_brackets: Vec<u8>,
    position: Position,
    /// A value has ended inside the innermost bracket: only a comma or the closing bracket may follow.
    after_value: bool,
    /// A name and its colon have come inside the innermost object.
    after_colon: bool,
}

/// Whether the scanner is inside a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    #[default]
    OutsideString,
    InString,
    /// Inside a string, after a backslash.
    AfterBackslash,
}

impl ObjectScanner {
    /// Whether no byte was scanned yet.
    pub(crate) fn is_at_start(&self) -> bool {
        self.scanned == 0
    }

    /// Goes on from where the last call ended. `text` has to begin with the same bytes as then.
    pub(crate) fn scan(&mut self, text: &[u8]) -> ScanResult {
        while let Some(byte) = text.get(self.scanned) {
            if self.position == Position::InString && !is_special_in_string(*byte) {
                self.skip_plain_text(text);
                continue;
            }
            if let Err(problem) = self.scan_byte(*byte) {
                return ScanResult::Broken(self.scanned, problem);
            }
            self.scanned += 1;
            if self.open_brackets.is_empty() {
                return ScanResult::Complete(self.scanned);
            }
        }
        ScanResult::Incomplete
    }

    /// Skips the bytes of a string up to its next special one.
    fn skip_plain_text(&mut self, text: &[u8]) {
        let special = text[self.scanned..].iter().position(|byte| is_special_in_string(*byte));
        self.scanned = special.map_or(text.len(), |length| self.scanned + length);
    }

    fn scan_byte(&mut self, byte: u8) -> Result<(), &'static str> {
        match self.position {
            Position::OutsideString => self.scan_outside_string(byte),
            Position::AfterBackslash => {
                self.position = Position::InString;
                Ok(())
            }
            Position::InString => self.scan_in_string(byte),
        }
    }

    fn scan_in_string(&mut self, byte: u8) -> Result<(), &'static str> {
        match byte {
            b'\\' => self.position = Position::AfterBackslash,
            b'"' => {
                self.position = Position::OutsideString;
                self.after_value = true;
            }
            ..0x20 => return Err("a string that does not end"),
            _ => {}
        }
        Ok(())
    }

    fn scan_outside_string(&mut self, byte: u8) -> Result<(), &'static str> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            _ if self.open_brackets.is_empty() && byte != b'{' => return Err("no object"),
            b'{' | b'[' | b'"' if self.after_value => return Err("a comma is missing"),
            b'{' | b'[' => self.open_bracket(byte)?,
            b'"' => self.position = Position::InString,
            b'}' | b']' => self.close_bracket(byte)?,
            b',' | b':' => {
                self.after_value = false;
                self.after_colon = byte == b':';
            }
            _ => {}
        }
        Ok(())
    }

    fn open_bracket(&mut self, bracket: u8) -> Result<(), &'static str> {
        if self.open_brackets.last() == Some(&b'{') && !self.after_colon {
            return Err("a name is missing");
        }
        self.open_brackets.push(bracket);
        self.after_colon = false;
        Ok(())
    }

    fn close_bracket(&mut self, bracket: u8) -> Result<(), &'static str> {
        let opening = if bracket == b'}' { b'{' } else { b'[' };
        if self.open_brackets.pop() != Some(opening) {
            return Err("brackets that do not fit");
        }
        self.after_value = true;
        Ok(())
    }
}

/// Whether this byte has a meaning of its own inside a string.
fn is_special_in_string(byte: u8) -> bool {
    matches!(byte, b'"' | b'\\' | ..0x20)
}
