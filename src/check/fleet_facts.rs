use crate::settings::Settings;

/// What is known of the fleet that a configuration is for. What is not known is not checked.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetFacts<'a> {
    /// The number of routers.
    pub routers: Option<u32>,
    /// The settings of one of its daemons.
    pub settings: Option<&'a Settings>,
}
