use thiserror::Error;

/// The longest service name.
const MAX_NAME_BYTES: usize = 64;

/// Why a path below `/v1/services/` is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PathError {
    /// The service name is empty, too long, or has characters that are not allowed.
    #[error("the service name must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'")]
    InvalidName,
    /// Servers may disagree on how to resolve a segment of the path.
    #[error("the path must not contain empty or dot segments, backslashes or encoded separators")]
    InvalidSegment,
}

/// The target of a service call: the service and the path to request from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePath {
    /// Name of the service.
    pub service: String,
    /// Path and query, starting with `/`.
    pub path: String,
}

impl ServicePath {
    /// Parses the part of the request target after `/v1/services/`. Paths are forwarded unchanged,
    /// so any path that could lead out of the service when a server resolves it is rejected.
    ///
    /// # Errors
    /// If the service name or a segment of the path is not allowed.
    pub fn parse(rest: &str) -> Result<Self, PathError> {
        let (path, query) = match rest.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (rest, None),
        };
        let (service, tail) = path.split_once('/').unwrap_or((path, ""));
        if !is_valid_name(service) {
            return Err(PathError::InvalidName);
        }
        let mut segments = tail.split('/').peekable();
        while let Some(segment) = segments.next() {
            let last = segments.peek().is_none();
            if (segment.is_empty() && !last) || !is_valid_segment(segment) {
                return Err(PathError::InvalidSegment);
            }
        }
        let query = query.map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Self { service: service.to_owned(), path: format!("/{tail}{query}") })
    }
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let dots = name == "." || name == "..";
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !dots && name.bytes().all(allowed)
}

fn is_valid_segment(segment: &str) -> bool {
    let lower = segment.to_ascii_lowercase();
    let has_bad_escape = ["%2f", "%5c", "%00"].iter().any(|bad| lower.contains(bad));
    let decoded = lower.replace("%2e", ".");
    decoded != "." && decoded != ".." && !has_bad_escape && !segment.contains('\\')
}
