//! Checks of a configuration before it is sent: what would be refused, what no call can reach, limits
//! that contradict each other, and what differs from the version in force.

mod compare;
mod difference;
mod finding;
mod fleet_facts;
mod hidden;
mod places;
mod region_check;
mod report;
mod settings_check;
mod table_check;
mod ticket_check;

pub use compare::{ListSpec, compare_lists, compare_objects};
pub use difference::{Change, Difference, FieldDifference};
pub use finding::{Finding, FindingKind};
pub use fleet_facts::FleetFacts;
pub use places::{Place, Places};
pub use report::{ConfigFormat, Report, cannot_compare};
pub use settings_check::check_settings;
pub use table_check::{EntryFinding, check_table};
pub use ticket_check::TicketCheck;
