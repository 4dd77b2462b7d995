//! A small reader and writer of JSON, and base64, so that the stand-ins need no library.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: Json = Json::Null;
        match self {
            Json::Map(rows) => rows
                .iter()
                .find(|(key, _)| key == name)
                .map_or(&NULL, |row| &row.1),
            _ => &NULL,
        }
    }

    pub fn num(&self) -> u64 {
        match self {
            Json::Num(value) => *value as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut reader = Reader { text, at: 0 };
        let value = reader.value()?;
        reader.skip();
        (reader.at == text.len()).then_some(value)
    }
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.text.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut rows = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Map(rows));
                }
                loop {
                    self.skip();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    rows.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Map(rows));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Str),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let from = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
                text.parse().ok().map(Json::Num)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.text.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = *self.text.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits =
                                std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let sign = char::from_u32(code).unwrap_or('?');
                            bytes.extend(sign.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Num(value) => write!(out, "{value}"),
            Json::Str(text) => write_text(out, text),
            Json::List(list) => {
                out.write_str("[")?;
                for (at, value) in list.iter().enumerate() {
                    write!(out, "{}{value}", if at > 0 { "," } else { "" })?;
                }
                out.write_str("]")
            }
            Json::Map(rows) => {
                out.write_str("{")?;
                for (at, (key, value)) in rows.iter().enumerate() {
                    out.write_str(if at > 0 { "," } else { "" })?;
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_str("\"")?;
    for sign in text.chars() {
        match sign {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            sign if (sign as u32) < 32 => write!(out, "\\u{:04x}", sign as u32)?,
            sign => write!(out, "{sign}")?,
        }
    }
    out.write_str("\"")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= part.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let (mut word, mut bits, mut bytes) = (0_u32, 0, Vec::new());
    for digit in text.bytes().filter(|byte| *byte != b'=') {
        let value = DIGITS.iter().position(|known| *known == digit)?;
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits & 255) as u8);
        }
    }
    Some(bytes)
}
