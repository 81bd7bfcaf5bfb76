use super::exchange::SendOutcome;
use crate::name::VmName;
use std::fmt;

/// Steps that are kept for one call.
const MAX_STEPS: usize = 16;

/// Where a call was sent, in order. It is logged when the call ends, however it ends, if the call was
/// sent more than once.
#[derive(Debug, Clone, Default)]
pub struct AttemptTrail {
    call: String,
    steps: Vec<Step>,
    /// Whether another part of the call logs the trail.
    is_handed_over: bool,
}

#[derive(Debug, Clone)]
struct Step {
    target: VmName,
    /// The servers that the target sent the call to, if it is another router.
    passed_on: Option<Vec<VmName>>,
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
            SendOutcome::NotSent(_) | SendOutcome::Unreached(_) | SendOutcome::NoPath => {
                Self::NotSent
            }
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

impl Step {
    /// The servers that the call was sent to in this step.
    fn servers(&self) -> &[VmName] {
        self.passed_on.as_deref().unwrap_or(std::slice::from_ref(&self.target))
    }
}

impl AttemptTrail {
    /// A call is about to be sent to a server or another router.
    pub fn begin(&mut self, call: &str, target: &VmName) {
        if self.call.is_empty() {
            call.clone_into(&mut self.call);
        }
        // Any number of servers may refuse connections.
        if self.steps.len() == MAX_STEPS
            && let Some(index) = self.steps.iter().position(|s| s.outcome == StepOutcome::NotSent)
        {
            self.steps.remove(index);
        }
        if self.steps.len() < MAX_STEPS {
            let (target, outcome) = (target.clone(), StepOutcome::Open);
            self.steps.push(Step { target, passed_on: None, outcome });
        }
    }

    /// The outcome of the step that began last.
    pub fn end(&mut self, outcome: StepOutcome) {
        if let Some(step) = self.steps.last_mut()
            && step.outcome == StepOutcome::Open
        {
            step.outcome = outcome;
        }
    }

    /// The servers that the router has sent the call to, to which the last step passed it on.
    pub fn passed_on(&mut self, servers: &[VmName]) {
        if let Some(step) = self.steps.last_mut() {
            step.passed_on = Some(servers.to_vec());
        }
    }

    /// The servers that the call was sent to, here or by other routers.
    pub fn servers(&self) -> Vec<VmName> {
        let sent = self.steps.iter().filter(|step| step.outcome != StepOutcome::NotSent);
        sent.flat_map(Step::servers).cloned().collect()
    }

    /// The same trail for the part of the call that goes on; this one is not logged then.
    pub fn hand_over(&mut self) -> Self {
        let trail = self.clone();
        self.is_handed_over = true;
        trail
    }

    fn count_sent(&self) -> usize {
        let sent = self.steps.iter().filter(|step| step.outcome != StepOutcome::NotSent);
        sent.map(|step| step.servers().len().max(1)).sum()
    }
}

impl fmt::Display for AttemptTrail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            let comma = if index == 0 { "" } else { ", " };
            write!(f, "{comma}{} {}", step.target, step.outcome)?;
            for server in step.passed_on.iter().flatten() {
                write!(f, ", by it to {server}")?;
            }
        }
        Ok(())
    }
}

impl Drop for AttemptTrail {
    fn drop(&mut self) {
        let count = self.count_sent();
        if count > 1 && !self.is_handed_over {
            log::info!("call {}: ended after it was sent {count} times: {self}", self.call);
        }
    }
}
