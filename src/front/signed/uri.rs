//! The URIs of requests, in one normal form. URLs are signed and verified, and paths are routed, in this
//! form.
//!
//! In path and query, escapes of unreserved characters are decoded and the others are written in upper case.
//! Dot segments are removed from the path. The host is in lower case, without the scheme's default port. Raw
//! bytes that RFC 3986 does not allow, invalid escapes, an escaped NUL, fragments and a parameter that occurs
//! twice are rejected.

/// Why a text is not accepted as the URI of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UriError {
    /// Neither the target nor the `Host` header has a host.
    #[error("the request has no host")]
    NoHost,
    /// The URI has a fragment.
    #[error("the URI has a fragment")]
    Fragment,
    /// The path does not begin with a slash.
    #[error("the path is not absolute")]
    NoAbsolutePath,
    /// A query parameter occurs more than once.
    #[error("a query parameter occurs twice")]
    RepeatedParameter,
    /// An absolute URI is required, but the text has no scheme.
    #[error("the URI has no scheme")]
    NoScheme,
    /// The scheme is neither http nor https.
    #[error("the scheme is neither http nor https")]
    UnknownScheme,
    /// The host is empty or has a byte that is not allowed in a host.
    #[error("the host is empty or has an invalid byte")]
    InvalidHost,
    /// A percent sign is not followed by two hexadecimal digits, or the escaped byte is NUL.
    #[error("a percent escape is invalid")]
    InvalidEscape,
    /// The path or the query has a raw byte that RFC 3986 does not allow there.
    #[error("the URI has an invalid byte")]
    InvalidByte,
}

/// A URI in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Uri {
    /// `http` or `https`.
    pub scheme: String,
    /// The host in lower case, with its port unless that is the scheme's default port.
    pub host: String,
    /// The path, which begins with a slash.
    pub path: String,
    /// The query parameters in the order received.
    pub query: Vec<Parameter>,
}

/// A query parameter, with its escapes in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parameter {
    /// The part before the first `=`.
    pub name: String,
    /// The part after the first `=`; `None` if there is no `=`.
    pub value: Option<String>,
}

impl std::fmt::Display for Uri {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}://{}{}", self.scheme, self.host, self.path)?;
        for (i, Parameter { name, value }) in self.query.iter().enumerate() {
            write!(f, "{}{name}", if i == 0 { '?' } else { '&' })?;
            if let Some(value) = value {
                write!(f, "={value}")?;
            }
        }
        Ok(())
    }
}

impl Uri {
    /// Parses the target of a request. If the target has a host, it takes precedence over the `Host` header.
    ///
    /// # Errors
    ///
    /// The target is malformed, or there is no host.
    pub fn parse(scheme: &str, host: Option<&str>, target: &str) -> Result<Self, UriError> {
        let absolute = ["http://", "https://"].iter().find_map(|start| {
            let known = target.get(..start.len()).is_some_and(|s| s.eq_ignore_ascii_case(start));
            known.then(|| &target[start.len()..])
        });
        let (host, target) = match absolute {
            Some(rest) => {
                let (host, target) = rest.split_at(rest.find(['/', '?', '#']).unwrap_or(rest.len()));
                (host, if target.is_empty() { "/" } else { target })
            }
            None => (host.ok_or(UriError::NoHost)?, target),
        };
        if target.contains('#') {
            return Err(UriError::Fragment);
        }
        let (path, query) =
            target.split_once('?').map_or((target, None), |(path, query)| (path, Some(query)));
        if !path.starts_with('/') {
            return Err(UriError::NoAbsolutePath);
        }
        let query = parse_query(query)?;
        let path = remove_dot_segments(&normalize_escapes(path, b"/:@!$&'()*+,;=")?);
        Ok(Uri { scheme: scheme.to_owned(), host: normalize_authority(scheme, host)?, path, query })
    }

    /// Parses an absolute URI.
    ///
    /// # Errors
    ///
    /// The text is not an absolute `http` or `https` URI.
    pub fn parse_absolute(text: &str) -> Result<Self, UriError> {
        let (scheme, _) = text.split_once("://").ok_or(UriError::NoScheme)?;
        let scheme = scheme.to_ascii_lowercase();
        match scheme.as_str() {
            "http" | "https" => Uri::parse(&scheme, None, text),
            _ => Err(UriError::UnknownScheme),
        }
    }

    /// Returns the value of a parameter: `Some("")` if it has no value, `None` if it is missing.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|parameter| parameter.name == name)?;
        Some(found.value.as_deref().unwrap_or(""))
    }

    /// Returns the URI without a parameter.
    pub fn without(&self, name: &str) -> Uri {
        let mut uri = self.clone();
        uri.query.retain(|parameter| parameter.name != name);
        uri
    }

    /// Returns the URI with one more parameter at its end.
    pub fn with(&self, name: &str, value: &str) -> Uri {
        let mut uri = self.clone();
        uri.query.push(Parameter { name: name.to_owned(), value: Some(value.to_owned()) });
        uri
    }
}

/// Parses the parameters of a query.
fn parse_query(query: Option<&str>) -> Result<Vec<Parameter>, UriError> {
    let mut parameters: Vec<Parameter> = Vec::new();
    for part in query.into_iter().flat_map(|query| query.split('&')) {
        let part = normalize_escapes(part, b"/?:@!$'()*+,;=")?;
        let (name, value) = match part.split_once('=') {
            Some((name, value)) => (name.to_owned(), Some(value.to_owned())),
            None => (part, None),
        };
        if parameters.iter().any(|known| known.name == name) {
            return Err(UriError::RepeatedParameter);
        }
        parameters.push(Parameter { name, value });
    }
    Ok(parameters)
}

/// Returns the host in lower case, without the scheme's default port.
fn normalize_authority(scheme: &str, host: &str) -> Result<String, UriError> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-._:[]".contains(&b);
    if host.is_empty() || !host.bytes().all(fits) {
        return Err(UriError::InvalidHost);
    }
    let host = host.to_ascii_lowercase();
    let default_port = if scheme == "https" { ":443" } else { ":80" };
    Ok(host.strip_suffix(default_port).unwrap_or(&host).to_owned())
}

/// Decodes the escapes of unreserved characters and writes the other escapes in upper case. `allowed` holds
/// the reserved characters that may occur unescaped.
fn normalize_escapes(text: &str, allowed: &[u8]) -> Result<String, UriError> {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (String::with_capacity(bytes.len()), 0);
    let unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    while let Some(&b) = bytes.get(at) {
        at += 1;
        if b == b'%' {
            let digits = bytes.get(at..at + 2).filter(|two| two.iter().all(u8::is_ascii_hexdigit));
            let digits =
                digits.and_then(|two| std::str::from_utf8(two).ok()).ok_or(UriError::InvalidEscape)?;
            at += 2;
            match u8::from_str_radix(digits, 16) {
                Ok(0) | Err(_) => return Err(UriError::InvalidEscape),
                Ok(b) if unreserved(b) => out.push(char::from(b)),
                Ok(_) => out.extend(["%", &digits.to_ascii_uppercase()]),
            }
        } else if unreserved(b) || allowed.contains(&b) {
            out.push(char::from(b));
        } else {
            return Err(UriError::InvalidByte);
        }
    }
    Ok(out)
}

/// Removes the segments `.` and `..` as RFC 3986 specifies.
fn remove_dot_segments(path: &str) -> String {
    let mut kept: Vec<&str> = Vec::new();
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    kept.pop();
                }
                if last {
                    kept.push("");
                }
            }
            _ => kept.push(segment),
        }
    }
    format!("/{}", kept.join("/"))
}

#[cfg(test)]
mod tests;
