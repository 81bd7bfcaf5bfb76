use super::exchange::SendOutcome;
use crate::name::VmName;
use std::fmt;

/// Steps that are kept for one call.
const MAX_STEPS: usize = 16;

/// Where a call was sent, in order. It is logged when the call ends, however it ends, if the call was
/// sent more than once.
#[derive(Debug, Default)]
pub struct AttemptTrail {
    call: String,
    steps: Vec<Step>,
}

#[derive(Debug, Clone)]
struct Step {
    target: VmName,
    outcome: StepOutcome,
}

/// What came of sending a call to one server or router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepOutcome {
    /// Nothing is known yet.
    Open,
    /// The head of a response came.
    Answered,
    /// No byte was sent.
    NotSent,
    /// It was turned away, and has not run.
    NotRun,
    /// There is no valid response; it may have run.
    Lost,
}

impl StepOutcome {
    /// What the outcome of sending a call means for its trail.
    pub fn of(outcome: &SendOutcome) -> Self {
        match outcome {
            SendOutcome::Answered(_) => Self::Answered,
            SendOutcome::NotSent(_) | SendOutcome::Unreached(_) => Self::NotSent,
            SendOutcome::Refused { .. } | SendOutcome::NotRun(_) => Self::NotRun,
            SendOutcome::Lost(_) => Self::Lost,
        }
    }
}

impl fmt::Display for StepOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Open => "open",
            Self::Answered => "answered",
            Self::NotSent => "not sent",
            Self::NotRun => "not run",
            Self::Lost => "lost",
        })
    }
}

impl AttemptTrail {
    /// A call is about to be sent to a server or another router.
    pub fn begin(&mut self, call: &str, target: &VmName) {
        if self.call.is_empty() {
            call.clone_into(&mut self.call);
        }
        if self.steps.len() < MAX_STEPS {
            self.steps.push(Step { target: target.clone(), outcome: StepOutcome::Open });
        }
    }

    /// The outcome of the step that began last.
    pub fn end(&mut self, outcome: StepOutcome) {
        if let Some(step) = self.steps.last_mut() {
            step.outcome = outcome;
        }
    }

    fn count_sent(&self) -> usize {
        self.steps.iter().filter(|step| step.outcome != StepOutcome::NotSent).count()
    }
}

impl fmt::Display for AttemptTrail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, Step { target, outcome }) in self.steps.iter().enumerate() {
            let comma = if index == 0 { "" } else { ", " };
            write!(f, "{comma}{target} {outcome}")?;
        }
        Ok(())
    }
}

impl Drop for AttemptTrail {
    fn drop(&mut self) {
        let count = self.count_sent();
        if count > 1 {
            log::info!("call {}: ended after it was sent {count} times: {self}", self.call);
        }
    }
}
