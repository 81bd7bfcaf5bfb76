/// Proof that no byte of a request has left for a backend server.
///
/// It is made once, when a request is accepted, and dropped by sending. Only who still holds it
/// can say that a request was not run.
#[derive(Debug)]
pub struct Unsent(());

impl Unsent {
    /// For a request that has just been accepted.
    pub(crate) fn accepted() -> Self {
        Self(())
    }
}
