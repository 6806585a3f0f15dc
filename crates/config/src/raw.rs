//! An object set as JSON values, before its objects are deserialized.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::de::{MapAccess, Visitor};
use serde_json::{Map, Value};

use crate::finding::Findings;
use crate::key::{KINDS, Kind, ObjectKey};

/// An object set as JSON values, keyed by kind and name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RawSet {
    /// The objects.
    pub objects: BTreeMap<ObjectKey, Value>,
}

/// Members of a JSON object in text order, including duplicates.
struct Members(Vec<(String, Value)>);

impl<'de> Deserialize<'de> for Members {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: serde::Deserializer<'de>,
    {
        struct MembersVisitor;

        impl<'de> Visitor<'de> for MembersVisitor {
            type Value = Members;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a JSON object")
            }

            fn visit_map<A>(self, mut access: A) -> Result<Members, A::Error>
            where
                A: MapAccess<'de>,
            {
                let mut members = Vec::new();
                while let Some(member) = access.next_entry()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }

        deserializer.deserialize_map(MembersVisitor)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    models: Option<Members>,
    #[serde(default)]
    adapters: Option<Members>,
    #[serde(default)]
    pools: Option<Members>,
    #[serde(default)]
    objectives: Option<Members>,
    #[serde(default)]
    organisations: Option<Members>,
    #[serde(default)]
    routes: Option<Members>,
    #[serde(default)]
    services: Option<Members>,
}

impl Document {
    fn take_members(&mut self, kind: Kind) -> Vec<(String, Value)> {
        let members = match kind {
            Kind::Model => self.models.take(),
            Kind::Adapter => self.adapters.take(),
            Kind::Pool => self.pools.take(),
            Kind::Objective => self.objectives.take(),
            Kind::Organisation => self.organisations.take(),
            Kind::Route => self.routes.take(),
            Kind::Service => self.services.take(),
        };
        members.map(|m| m.0).unwrap_or_default()
    }
}

impl RawSet {
    /// Parses the text of an object set.
    ///
    /// # Errors
    ///
    /// Returns findings for malformed JSON, unknown kinds and duplicate objects, each with its
    /// location.
    ///
    /// ```
    /// use camphorloft_config::RawSet;
    /// let set = RawSet::parse(r#"{"models": {"m": {"max_output_tokens": 16}}}"#).unwrap();
    /// assert_eq!(set.objects.len(), 1);
    /// assert!(RawSet::parse(r#"{"modles": {}}"#).is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let mut document: Document = match serde_json::from_str(text) {
            Ok(document) => document,
            Err(err) => {
                let location = format!("line {} column {}", err.line(), err.column());
                findings.push(location, err.to_string(), "correct the JSON text");
                return Err(findings);
            }
        };
        let mut objects = BTreeMap::new();
        for kind in KINDS {
            for (name, value) in document.take_members(kind) {
                let key = ObjectKey { kind, name };
                let path = format!("/{key}");
                if objects.insert(key, value).is_some() {
                    findings.push(path, "the object is defined twice", "keep one definition");
                }
            }
        }
        if findings.is_empty() { Ok(Self { objects }) } else { Err(findings) }
    }

    /// Returns the set as one JSON object with sorted members.
    pub fn to_value(&self) -> Value {
        let mut document = Map::new();
        for (key, value) in &self.objects {
            let members =
                document.entry(key.kind.member()).or_insert_with(|| Value::Object(Map::new()));
            if let Value::Object(members) = members {
                members.insert(key.name.clone(), value.clone());
            }
        }
        Value::Object(document)
    }

    /// Returns the BLAKE3 digest of the canonical text, in hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(self.to_value().to_string().as_bytes()).to_hex().to_string()
    }
}
