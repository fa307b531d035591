//! The outcomes of callers' requests, as metrics tell them apart.

/// The outcome of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// A target answered without a server error.
    Served,
    /// A target answered with a server error.
    TargetFailed,
    /// The request was refused for lack of capacity, and has not run.
    Refused,
    /// The request was refused because its tenant is over its limit, and has not run.
    OverLimit,
    /// The request failed, and may have run.
    Failed,
}

impl RequestOutcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [RequestOutcome; 5] = [
        RequestOutcome::Served,
        RequestOutcome::TargetFailed,
        RequestOutcome::Refused,
        RequestOutcome::OverLimit,
        RequestOutcome::Failed,
    ];

    /// Returns the value of the label `outcome`.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::Served => "served",
            RequestOutcome::TargetFailed => "target_failed",
            RequestOutcome::Refused => "refused",
            RequestOutcome::OverLimit => "over_limit",
            RequestOutcome::Failed => "failed",
        }
    }
}
