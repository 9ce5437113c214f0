//! Lists out of a stream of JSON values in any layout: one to a line, indented over many, or several on one line. It
//! holds what has come of the value that is not whole yet, at most [`LONGEST`] bytes of it, and waits for nothing: bytes
//! go in as they come, lists come out as their last brace does. What can't be read costs no later value.

use crate::compact::CompactList;
use crate::header;
use crate::wire::{List, ListError};
use std::hash::{DefaultHasher, Hasher};
use thiserror::Error;

/// Longest text of one list that is read. 7,100 nodes take some 1.3 MB on one line and 2.5 MB where each field stands on a
/// line of its own behind sixteen blanks; this leaves room for three times as much, and several that come at once fit
/// into a head's memory.
pub const LONGEST: usize = 8 << 20;
/// Room for so much is kept between values.
const KEPT: usize = 64 << 10;

/// Why a part of a stream gave no list.
#[derive(Debug, Error)]
pub enum ValueError {
    /// Its braces or strings don't fit; the next line is tried.
    #[error("byte {place}: {problem}")]
    Malformed {
        /// Where in the stream, in bytes from its start.
        place: u64,
        /// What is wrong there.
        problem: &'static str,
    },
    /// A whole value, but no list.
    #[error("value at byte {place}: {problem}")]
    NoList {
        /// Where in the stream it starts.
        place: u64,
        /// Why it is none.
        problem: ListError,
    },
    /// A value past [`LONGEST`]; nothing after it can be read.
    #[error("value at byte {place}: over {LONGEST} bytes")]
    TooLong {
        /// Where in the stream it starts.
        place: u64,
    },
}

/// What a stream gives.
#[derive(Debug)]
pub enum Value<L = List> {
    /// A list, and a print of its text.
    List(L, u64),
    /// The text whose print is known, once more.
    Known,
}

/// Where the scan of a value stands.
#[derive(Debug, Default)]
struct Scan {
    /// How much of the text has been looked at.
    done: usize,
    /// The brackets that are open.
    open: Vec<u8>,
    in_string: bool,
    escaped: bool,
    /// A value has ended in the innermost bracket, so that only a comma or its end may follow.
    ended: bool,
    /// A name and its colon have come in the innermost object.
    named: bool,
}

/// Whether this byte has a meaning of its own inside a string.
fn ends_plain_text(byte: u8) -> bool {
    matches!(byte, b'"' | b'\\' | ..0x20)
}

/// What the scan came to.
enum Found {
    /// The value ends before this byte.
    End(usize),
    /// It breaks at this byte.
    Broken(usize, &'static str),
    /// More is needed.
    Unfinished,
}

impl Scan {
    /// Looks on from where it stands.
    fn look(&mut self, text: &[u8]) -> Found {
        while let Some(byte) = text.get(self.done) {
            if self.in_string && !self.escaped && !ends_plain_text(*byte) {
                let plain = text[self.done..].iter().position(|byte| ends_plain_text(*byte));
                self.done = plain.map_or(text.len(), |plain| self.done + plain);
                continue;
            }
            let broken = self.step(*byte);
            if let Some(problem) = broken {
                return Found::Broken(self.done, problem);
            }
            self.done += 1;
            if self.open.is_empty() {
                return Found::End(self.done);
            }
        }
        Found::Unfinished
    }

    fn step(&mut self, byte: u8) -> Option<&'static str> {
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => (self.in_string, self.ended) = (false, true),
                ..0x20 => return Some("a string that does not end"),
                _ => {}
            }
            return None;
        }
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            _ if self.open.is_empty() && byte != b'{' => return Some("no object"),
            b'{' | b'[' | b'"' if self.ended => return Some("a comma is missing"),
            b'{' | b'[' if self.open.last() == Some(&b'{') && !self.named => {
                return Some("a name is missing");
            }
            b'{' | b'[' => {
                self.open.push(byte);
                self.named = false;
            }
            b'"' => self.in_string = true,
            b'}' | b']' => {
                // '{' and '}', '[' and ']' are two apart.
                if self.open.pop() != Some(byte - 2) {
                    return Some("brackets that do not fit");
                }
                self.ended = true;
            }
            b',' | b':' => (self.ended, self.named) = (false, byte == b':'),
            _ => {}
        }
        None
    }
}

/// Reads a stream of lists.
#[derive(Debug, Default)]
pub struct Values {
    text: Vec<u8>,
    /// Where in the stream the text starts.
    place: u64,
    scan: Scan,
    /// The rest of a line that can't be read is passed over.
    passing: bool,
    /// What can't be read was reported, once until a list can be read again: an object over many lines is one problem.
    reported: bool,
    known: Option<u64>,
}

impl Values {
    /// Reads from the start of a stream. The text with the `known` print is not read again: where each answer brings
    /// the whole list, a long one that has not changed costs a look and no more.
    pub fn knowing(known: Option<u64>) -> Values {
        Values { known, ..Values::default() }
    }

    /// Takes in what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
    }

    /// Whether a value has begun and not ended.
    pub fn unfinished(&self) -> bool {
        !self.text.is_empty()
    }

    /// The version of a value that has begun and not ended, if it is a whole list whose first fields have come.
    pub fn whole_list_begun(&self) -> Option<u64> {
        if self.passing { None } else { header::whole_list_version(&self.text) }
    }

    /// The next value with entries of its own, or what could not be read; none until more has come.
    pub fn next_value(&mut self) -> Option<Result<Value, ValueError>> {
        Some(self.next_compact()?.map(|value| match value {
            Value::List(list, print) => Value::List(list.into(), print),
            Value::Known => Value::Known,
        }))
    }

    /// The next value, or what could not be read; none until more has come.
    pub fn next_compact(&mut self) -> Option<Result<Value<CompactList>, ValueError>> {
        loop {
            if self.passing {
                let end = self.text.iter().position(|byte| *byte == b'\n');
                self.passing = end.is_none();
                self.drop_front(end.map_or(self.text.len(), |end| end + 1));
            }
            if self.scan.done == 0 {
                let blank = self.text.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
                self.drop_front(blank);
            }
            let problem = match self.scan.look(&self.text) {
                Found::Unfinished if self.text.len() <= LONGEST => return None,
                Found::Unfinished => {
                    let place = self.place;
                    self.drop_front(self.text.len());
                    return Some(Err(ValueError::TooLong { place }));
                }
                Found::End(end) => {
                    let mut print = DefaultHasher::new();
                    print.write(&self.text[..end]);
                    let print = print.finish();
                    if self.known == Some(print) {
                        self.drop_front(end);
                        self.reported = false;
                        return Some(Ok(Value::Known));
                    }
                    let (list, place) = (CompactList::parse(&self.text[..end]), self.place);
                    self.drop_front(end);
                    match list {
                        Ok(list) => {
                            self.reported = false;
                            return Some(Ok(Value::List(list, print)));
                        }
                        Err(problem) => ValueError::NoList { place, problem },
                    }
                }
                Found::Broken(at, problem) => {
                    self.passing = true;
                    let place = self.place + at as u64;
                    self.scan = Scan::default();
                    ValueError::Malformed { place, problem }
                }
            };
            if !std::mem::replace(&mut self.reported, true) {
                return Some(Err(problem));
            }
        }
    }

    fn drop_front(&mut self, count: usize) {
        self.text.drain(..count);
        self.place += count as u64;
        self.scan = Scan::default();
        // A long list's room is not kept for the short ones that follow.
        if self.text.is_empty() && self.text.capacity() > KEPT {
            self.text = Vec::new();
        }
    }
}
