//! Answers that are held for callers that read slowly: read ahead up to a bound for each call,
//! counted against the budget of the process, which ends the slowest callers where it is used up.

mod caller_reader;
mod held_body;
mod read_ahead;
mod reader_bounds;
mod readers;

pub use caller_reader::CallerReader;
pub use held_body::HeldBody;
pub use reader_bounds::ReaderBounds;
pub use readers::Readers;
