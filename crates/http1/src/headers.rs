//! Header fields in the order of arrival.

/// Ordered list of header fields; names are compared case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, String)>,
}

/// Hop-by-hop fields, which a proxy does not forward (RFC 9110, section 7.6.1).
const HOP_BY_HOP_FIELDS: [&str; 9] = [
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
    /// Appends a field, also when the name is already present.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Replaces all fields with this name by one, at the end of the list.
    pub fn set(&mut self, name: &str, value: impl Into<String>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first field with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Returns the values of all fields with this name, in order.
    pub fn get_all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let fields = self.fields.iter();
        fields
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether a field with this name holds the token in its comma-separated list;
    /// case is ignored.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    /// Returns all fields as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|(n, v)| (n.as_str(), v.as_str()))
    }

    /// Removes hop-by-hop fields, fields named by `Connection`, `Content-Length` and
    /// `Trailer`, so that the rest can be forwarded.
    pub fn remove_hop_by_hop_fields(&mut self) {
        let named: Vec<String> = self
            .get_all("connection")
            .flat_map(|value| value.split(','))
            .map(|part| part.trim().to_ascii_lowercase())
            .collect();
        self.fields.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            let drops = HOP_BY_HOP_FIELDS.contains(&name.as_str()) || named.contains(&name);
            !drops && name != "content-length" && name != "trailer"
        });
    }

    /// Appends the fields to `out`, one line each.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in self.iter() {
            write_field(out, name, value);
        }
    }
}

/// Appends one header line with its CRLF to `out`.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &str) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value.as_bytes());
    out.extend_from_slice(b"\r\n");
}
