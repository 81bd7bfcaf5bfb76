use thiserror::Error;

/// The longest name of a service, in bytes.
const NAME_BYTES: usize = 64;

/// Why a path below `/v1/services/` is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PathError {
    /// The service's name is missing or has other characters than names have.
    #[error("the service's name must be 1 to {NAME_BYTES} letters, digits, '-', '_' or '.'")]
    Name,
    /// A segment would be read in different ways by different servers.
    #[error("the path must not hold empty or dot segments, backslashes or encoded separators")]
    Segment,
}

/// The service and the path that it is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePath {
    /// The service's name.
    pub service: String,
    /// Path and query, from `/` on.
    pub path: String,
}

impl ServicePath {
    /// Reads what stands behind `/v1/services/`. Paths are passed on as they are, so that none may
    /// lead out of the service however a server resolves it.
    ///
    /// # Errors
    /// Where the name or a segment is not allowed.
    pub fn parse(rest: &str) -> Result<Self, PathError> {
        let (plain, query) = match rest.split_once('?') {
            Some((plain, query)) => (plain, Some(query)),
            None => (rest, None),
        };
        let (service, tail) = plain.split_once('/').unwrap_or((plain, ""));
        if !is_name(service) {
            return Err(PathError::Name);
        }
        let mut segments = tail.split('/').peekable();
        while let Some(segment) = segments.next() {
            let last = segments.peek().is_none();
            if (segment.is_empty() && !last) || !is_segment(segment) {
                return Err(PathError::Segment);
            }
        }
        let query = query.map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Self { service: service.to_owned(), path: format!("/{tail}{query}") })
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let dots = name == "." || name == "..";
    (1..=NAME_BYTES).contains(&name.len()) && !dots && name.bytes().all(allowed)
}

fn is_segment(segment: &str) -> bool {
    let lower = segment.to_ascii_lowercase();
    let encoded = ["%2f", "%5c", "%00"].iter().any(|bad| lower.contains(bad));
    let plain = lower.replace("%2e", ".");
    plain != "." && plain != ".." && !encoded && !segment.contains('\\')
}
