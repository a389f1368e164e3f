//! Kinds of failures that a run injects.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    TargetCrash,
    TargetFlap,
    TargetLeave,
    TargetSlow,
    RouterCrash,
    RouterStop,
    RouterIsolated,
    MemberCrash,
    MemberIsolated,
    DiskLost,
    SecondLoss,
    OneWayCut,
    TwoWayCut,
    SilentLink,
    Loss,
    Duplication,
    Reordering,
    ClockDrift,
}

impl FaultKind {
    pub const ALL: [Self; 18] = [
        Self::TargetCrash,
        Self::TargetFlap,
        Self::TargetLeave,
        Self::TargetSlow,
        Self::RouterCrash,
        Self::RouterStop,
        Self::RouterIsolated,
        Self::MemberCrash,
        Self::MemberIsolated,
        Self::DiskLost,
        Self::SecondLoss,
        Self::OneWayCut,
        Self::TwoWayCut,
        Self::SilentLink,
        Self::Loss,
        Self::Duplication,
        Self::Reordering,
        Self::ClockDrift,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::TargetCrash => "target_crash",
            Self::TargetFlap => "target_flap",
            Self::TargetLeave => "target_leave",
            Self::TargetSlow => "target_slow",
            Self::RouterCrash => "router_crash",
            Self::RouterStop => "router_stop",
            Self::RouterIsolated => "router_isolated",
            Self::MemberCrash => "member_crash",
            Self::MemberIsolated => "member_isolated",
            Self::DiskLost => "disk_lost",
            Self::SecondLoss => "second_loss",
            Self::OneWayCut => "one_way_cut",
            Self::TwoWayCut => "two_way_cut",
            Self::SilentLink => "silent_link",
            Self::Loss => "loss",
            Self::Duplication => "duplication",
            Self::Reordering => "reordering",
            Self::ClockDrift => "clock_drift",
        }
    }
}
