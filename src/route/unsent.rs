/// Proof that no byte of a request has been sent to a backend server.
///
/// It is created once, when a request is accepted, and given up when the request is sent. A refusal
/// can only state that the request was not run if its creator still has this proof.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// Creates the proof for a request that has just been accepted.
    pub(crate) fn accepted() -> Self {
        Self(())
    }
}
