//! Request and response heads: the first line and the header fields.

use httparse::Status;
use quick_error::quick_error;

use crate::body::{BodyError, Framing};
use crate::headers::Headers;

/// Most header fields in a head.
const MAX_FIELD_COUNT: usize = 100;

quick_error! {
    /// Why a head cannot be parsed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum HeadError {
        /// The bytes are not an HTTP/1 head, or a field value is not UTF-8.
        Malformed {
            display("the head is malformed")
        }
        /// The head has more than 100 header fields.
        TooLarge {
            display("the head is too large")
        }
    }
}

impl From<httparse::Error> for HeadError {
    fn from(error: httparse::Error) -> Self {
        match error {
            httparse::Error::TooManyHeaders => Self::TooLarge,
            _ => Self::Malformed,
        }
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, such as `GET`.
    pub method: String,
    /// Request target (path and query) as sent by the caller.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// Header fields in order.
    pub headers: Headers,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase; empty when there is none.
    pub reason: String,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// Header fields in order.
    pub headers: Headers,
}

impl RequestHead {
    /// Parses a head. Returns the head and its length in bytes, or `None` when the
    /// head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes cannot be the start of a valid head.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELD_COUNT];
        let mut request = httparse::Request::new(&mut fields);
        let Status::Complete(length) = request.parse(bytes)? else {
            return Ok(None);
        };
        let head = Self {
            method: request.method.unwrap_or_default().to_owned(),
            target: request.path.unwrap_or_default().to_owned(),
            is_http11: request.version == Some(1),
            headers: to_headers(request.headers)?,
        };
        Ok(Some((head, length)))
    }

    /// Returns how the body is delimited.
    ///
    /// # Errors
    ///
    /// Fails when the length is ambiguous: two HTTP parsers could then disagree on
    /// where the request ends, which allows request smuggling.
    pub fn framing(&self) -> Result<Framing, BodyError> {
        let chunked = is_chunked(&self.headers)?;
        let length = content_length(&self.headers)?;
        match (chunked, length) {
            (true, None) => Ok(Framing::Chunked),
            (true, Some(_)) => Err(BodyError::Ambiguous),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::Length(0)),
        }
    }

    /// Whether the caller keeps the connection open after this request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http11)
    }

    /// Serialises the head, adding `Content-Length` when the request can have a body.
    #[must_use]
    pub fn to_bytes(&self, body_bytes: usize) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write(&mut out);
        if body_bytes > 0 || !matches!(self.method.as_str(), "GET" | "HEAD" | "DELETE") {
            let value = body_bytes.to_string();
            crate::headers::write_field(&mut out, "Content-Length", &value);
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

impl ResponseHead {
    /// Parses a head. Returns the head and its length in bytes, or `None` when the
    /// head is incomplete.
    ///
    /// # Errors
    ///
    /// Fails when the bytes cannot be the start of a valid head.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELD_COUNT];
        let mut response = httparse::Response::new(&mut fields);
        let Status::Complete(length) = response.parse(bytes)? else {
            return Ok(None);
        };
        let head = Self {
            status: response.code.unwrap_or_default(),
            reason: response.reason.unwrap_or_default().to_owned(),
            is_http11: response.version == Some(1),
            headers: to_headers(response.headers)?,
        };
        Ok(Some((head, length)))
    }

    /// Returns how the body of a response to `method` is delimited.
    ///
    /// # Errors
    ///
    /// Fails when the length is ambiguous.
    pub fn framing(&self, method: &str) -> Result<Framing, BodyError> {
        let no_body = method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304);
        if no_body {
            return Ok(Framing::Length(0));
        }
        let chunked = is_chunked(&self.headers)?;
        match (chunked, content_length(&self.headers)?) {
            (true, None) => Ok(Framing::Chunked),
            (true, Some(_)) => Err(BodyError::Ambiguous),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Whether the target keeps the connection open after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        keeps_alive(&self.headers, self.is_http11)
    }

    /// Serialises the status line and the header fields, without the empty line at
    /// the end.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(512);
        out.extend_from_slice(b"HTTP/1.1 ");
        out.extend_from_slice(self.status.to_string().as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.reason.as_bytes());
        out.extend_from_slice(b"\r\n");
        self.headers.write(&mut out);
        out
    }
}

fn to_headers(fields: &[httparse::Header<'_>]) -> Result<Headers, HeadError> {
    let mut headers = Headers::default();
    for field in fields {
        let value = std::str::from_utf8(field.value).map_err(|_| HeadError::Malformed)?;
        headers.push(field.name, value);
    }
    Ok(headers)
}

fn keeps_alive(headers: &Headers, is_http11: bool) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    is_http11 || headers.has_token("connection", "keep-alive")
}

fn is_chunked(headers: &Headers) -> Result<bool, BodyError> {
    let mut codings = headers.get_all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim().eq_ignore_ascii_case("chunked") => Ok(true),
        _ => Err(BodyError::Ambiguous),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, BodyError> {
    let mut lengths = headers.get_all("content-length");
    let (first, second) = (lengths.next(), lengths.next());
    match (first, second) {
        (None, _) => Ok(None),
        (Some(text), None) => {
            let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            let length = text.parse().ok().filter(|_| digits);
            length.map(Some).ok_or(BodyError::Ambiguous)
        }
        (Some(_), Some(_)) => Err(BodyError::Ambiguous),
    }
}
