//! Header fields in the order in which they came.

/// Header fields; names compare without regard to case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, String)>,
}

/// Fields that concern one connection only (RFC 9110, section 7.6.1).
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Replaces all fields of a name by one.
    pub fn set(&mut self, name: &str, value: impl Into<String>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Returns the first value of a name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Returns all values of a name.
    pub fn get_all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let fields = self.fields.iter();
        fields
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a comma-separated list of a name contains a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Removes fields that concern one connection only, also those that a
    /// `Connection` field names, and the length of the body.
    pub fn remove_connection_fields(&mut self) {
        let named: Vec<String> = self
            .get_all("connection")
            .flat_map(|value| value.split(','))
            .map(|part| part.trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            let drops = CONNECTION_FIELDS.contains(&name.as_str()) || named.contains(&name);
            !drops && name != "content-length" && name != "trailer"
        });
    }

    /// Writes the fields as lines.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            write_field(out, name, value);
        }
    }
}

/// Writes one field as a line.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}
