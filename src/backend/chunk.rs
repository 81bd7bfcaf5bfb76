use super::Usage;
use serde::Deserialize;
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// What a chunk means for the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkKind {
    /// It carries content.
    Token,
    /// It carries none, such as the role at the start.
    Other,
    /// It ends the answer: a finish reason, or the usage.
    Last,
    /// It reports an error.
    Error,
}

/// The parts of a chat completion chunk that the relay looks at.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    #[serde(default)]
    choices: Option<Vec<Choice>>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Filled,
    #[serde(default)]
    reasoning_content: Filled,
    #[serde(default)]
    tool_calls: Filled,
}

impl Chunk {
    /// The usage that the chunk reports.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// What the chunk means.
    pub fn kind(&self) -> ChunkKind {
        if self.error.is_some() {
            return ChunkKind::Error;
        }
        let choices = self.choices.as_deref().unwrap_or_default();
        let content = choices.iter().any(Choice::has_content);
        if choices.iter().any(|choice| choice.finish_reason.is_some()) {
            return ChunkKind::Last;
        }
        match (content, self.usage) {
            (true, _) => ChunkKind::Token,
            (false, Some(_)) => ChunkKind::Last,
            (false, None) => ChunkKind::Other,
        }
    }
}

impl Choice {
    fn has_content(&self) -> bool {
        let delta = self.delta.as_ref();
        delta.is_some_and(|d| d.content.0 || d.reasoning_content.0 || d.tool_calls.0)
    }
}

/// Whether a value is there and not empty; the value itself is not kept.
#[derive(Debug, Default)]
struct Filled(bool);

impl<'de> Deserialize<'de> for Filled {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(FilledVisitor)
    }
}

struct FilledVisitor;

impl<'de> Visitor<'de> for FilledVisitor {
    type Value = Filled;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a list or null")
    }

    fn visit_str<E>(self, text: &str) -> Result<Filled, E> {
        Ok(Filled(!text.is_empty()))
    }

    fn visit_unit<E>(self) -> Result<Filled, E> {
        Ok(Filled(false))
    }

    fn visit_seq<A>(self, mut list: A) -> Result<Filled, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut filled = false;
        while list.next_element::<IgnoredAny>()?.is_some() {
            filled = true;
        }
        Ok(Filled(filled))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Filled, A::Error>
    where
        A: MapAccess<'de>,
    {
        while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Filled(true))
    }
}
