//! A small JSON reader.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        const NULL: &Json = &Json::Null;
        match self {
            Json::Map(map) => map.get(name).unwrap_or(NULL),
            _ => NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn is_true(&self) -> bool {
        *self == Json::Bool(true)
    }
}

pub fn parse(text: &[u8]) -> Json {
    let mut at = 0;
    value(text, &mut at)
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(|byte| b" \t\r\n,:".contains(byte)) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Json {
    skip(text, at);
    match text.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip(text, at);
                if text.get(*at).is_none_or(|byte| *byte == b'}') {
                    *at += 1;
                    return Json::Map(map);
                }
                let name = value(text, at).text().to_owned();
                map.insert(name, value(text, at));
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(text, at);
                if text.get(*at).is_none_or(|byte| *byte == b']') {
                    *at += 1;
                    return Json::List(list);
                }
                list.push(value(text, at));
            }
        }
        Some(b'"') => {
            *at += 1;
            let mut out = Vec::new();
            while let Some(byte) = text.get(*at) {
                *at += 1;
                match byte {
                    b'"' => break,
                    b'\\' => {
                        out.push(*text.get(*at).unwrap_or(&b' '));
                        *at += 1;
                    }
                    other => out.push(*other),
                }
            }
            Json::Text(String::from_utf8_lossy(&out).into_owned())
        }
        Some(_) => {
            let start = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                *at += 1;
            }
            match &text[start..*at] {
                b"true" => Json::Bool(true),
                b"false" => Json::Bool(false),
                number => std::str::from_utf8(number)
                    .ok()
                    .and_then(|number| number.parse().ok())
                    .map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}
