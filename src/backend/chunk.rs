use super::Usage;
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// How the stream parser treats a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// Carries content; counts as one token.
    Content,
    /// Carries no content, such as the chunk with the role at the start.
    Other,
    /// Ends the answer: has a finish reason, or the usage without content.
    Last,
    /// Reports an error of the engine.
    Error,
}

/// The fields of a chat completion chunk that the router reads.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    #[serde(default)]
    choices: Option<Vec<ChunkChoice>>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Option<ChoiceDelta>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct ChoiceDelta {
    #[serde(default)]
    content: NonEmpty,
    #[serde(default)]
    reasoning_content: NonEmpty,
    #[serde(default)]
    tool_calls: NonEmpty,
}

impl Chunk {
    /// The token counts that the engine reports in this chunk, if any.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Classifies the chunk. A finish reason takes precedence over content, and content over usage,
    /// so that an engine may report running totals of its usage.
    pub fn kind(&self) -> ChunkKind {
        if self.error.is_some() {
            return ChunkKind::Error;
        }
        let choices = self.choices.as_deref().unwrap_or_default();
        let content = choices.iter().any(ChunkChoice::has_content);
        if choices.iter().any(|choice| choice.finish_reason.is_some()) {
            return ChunkKind::Last;
        }
        match (content, self.usage) {
            (true, _) => ChunkKind::Content,
            (false, Some(_)) => ChunkKind::Last,
            (false, None) => ChunkKind::Other,
        }
    }
}

impl ChunkChoice {
    fn has_content(&self) -> bool {
        let delta = self.delta.as_ref();
        delta.is_some_and(|d| d.content.0 || d.reasoning_content.0 || d.tool_calls.0)
    }
}

/// Whether a JSON value is present: a string or list that is not empty, or any object. The value
/// itself is discarded.
#[derive(Debug, Default)]
struct NonEmpty(bool);

impl<'de> Deserialize<'de> for NonEmpty {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(NonEmptyVisitor)
    }
}

struct NonEmptyVisitor;

impl<'de> Visitor<'de> for NonEmptyVisitor {
    type Value = NonEmpty;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a list, an object or null")
    }

    fn visit_str<E>(self, text: &str) -> Result<NonEmpty, E> {
        Ok(NonEmpty(!text.is_empty()))
    }

    fn visit_unit<E>(self) -> Result<NonEmpty, E> {
        Ok(NonEmpty(false))
    }

    fn visit_seq<A>(self, mut list: A) -> Result<NonEmpty, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut non_empty = false;
        while list.next_element::<IgnoredAny>()?.is_some() {
            non_empty = true;
        }
        Ok(NonEmpty(non_empty))
    }

    fn visit_map<A>(self, mut map: A) -> Result<NonEmpty, A::Error>
    where
        A: MapAccess<'de>,
    {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(NonEmpty(true))
    }
}
