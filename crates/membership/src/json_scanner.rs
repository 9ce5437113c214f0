//! Finds the end of a JSON object in text that arrives in pieces, without parsing the object. The scanner checks only
//! what is needed to find the end and to detect malformed text early: brackets, strings, and the order of names and
//! values.

/// The result of a scan.
pub(crate) enum ScanResult {
    /// The object ends before the byte at this index.
    Complete(usize),
    /// The text has this syntax error at the byte at this index.
    Malformed(usize, &'static str),
    /// The object does not end within the text.
    Incomplete,
}

/// Scanner of one object. Its state is kept between calls, so that each byte is scanned only once.
#[derive(Debug, Default)]
pub(crate) struct ObjectScanner {
    /// The number of bytes scanned so far.
    scanned: usize,
    /// The opening brackets that are not closed yet.
    open_brackets: Vec<u8>,
    position: Position,
    /// Whether a value has just ended inside the innermost brackets: only a comma or the closing bracket may follow.
    after_value: bool,
    /// Whether a colon was scanned inside the innermost object, so that a value may follow.
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
    /// Whether no byte has been scanned yet.
    pub(crate) fn is_at_start(&self) -> bool {
        self.scanned == 0
    }

    /// Continues the scan after the last scanned byte. `text` has to begin with the bytes scanned so far.
    pub(crate) fn scan(&mut self, text: &[u8]) -> ScanResult {
        while let Some(byte) = text.get(self.scanned) {
            if self.position == Position::InString && !is_special_in_string(*byte) {
                self.skip_plain_text(text);
                continue;
            }
            if let Err(problem) = self.scan_byte(*byte) {
                return ScanResult::Malformed(self.scanned, problem);
            }
            self.scanned += 1;
            if self.open_brackets.is_empty() {
                return ScanResult::Complete(self.scanned);
            }
        }
        ScanResult::Incomplete
    }

    /// Skips the bytes of a string up to the next quote, backslash or control character.
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
            ..0x20 => return Err("unterminated string"),
            _ => {}
        }
        Ok(())
    }

    fn scan_outside_string(&mut self, byte: u8) -> Result<(), &'static str> {
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            _ if self.open_brackets.is_empty() && byte != b'{' => return Err("expected an object"),
            b'{' | b'[' | b'"' if self.after_value => return Err("missing comma"),
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
            return Err("missing field name");
        }
        self.open_brackets.push(bracket);
        self.after_colon = false;
        Ok(())
    }

    fn close_bracket(&mut self, bracket: u8) -> Result<(), &'static str> {
        let opening = if bracket == b'}' { b'{' } else { b'[' };
        if self.open_brackets.pop() != Some(opening) {
            return Err("mismatched brackets");
        }
        self.after_value = true;
        Ok(())
    }
}

/// Whether this byte ends a string, begins an escape, or is a control character, which is not allowed in a string.
fn is_special_in_string(byte: u8) -> bool {
    matches!(byte, b'"' | b'\\' | ..0x20)
}
