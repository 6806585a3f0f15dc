//! The JSON and base64 that the store's calls need.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub enum Json {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn is_true(&self) -> bool {
        matches!(self, Json::Bool(true))
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a value. What is not valid becomes null.
pub fn parse(text: &[u8]) -> Json {
    Parser { text, at: 0 }.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.text.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
        self.text.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut fields = BTreeMap::new();
                self.at += 1;
                while self.peek() == b'"' {
                    let name = self.string();
                    if self.peek() == b':' {
                        self.at += 1;
                    }
                    fields.insert(name, self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Object(fields)
            }
            b'[' => {
                let mut list = Vec::new();
                self.at += 1;
                while !matches!(self.peek(), b']' | 0) {
                    list.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(list)
            }
            b'"' => Json::Text(self.string()),
            _ => {
                let from = self.at;
                let ends =
                    |byte: &u8| matches!(byte, b',' | b']' | b'}') || byte.is_ascii_whitespace();
                while self.text.get(self.at).is_some_and(|byte| !ends(byte)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.text[from..self.at]).unwrap_or_default() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    word => word.parse().map_or(Json::Null, Json::Number),
                }
            }
        }
    }

    /// Reads a string. The calls of the host contain no escapes other than of single characters.
    fn string(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(byte) = self.text.get(self.at).copied() {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    bytes.extend(self.text.get(self.at));
                    self.at += 1;
                }
                _ => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |at: usize| u32::from(part.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            match at <= part.len() {
                true => text.push(char::from(DIGITS[(bits >> (18 - 6 * at) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
