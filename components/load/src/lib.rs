//! Open-loop load generator with a seeded schedule, and its report.
//!
//! Requests are sent at planned times, regardless of whether earlier ones have been answered.
//! Answers are checked against the content that the stand-ins compute from each request, and
//! bookings against the counts of the plain service stand-ins.

mod caller;
mod gap;
mod plan;
mod plot;
mod profile;
mod report;
mod run;
mod samples;
mod sse;

pub use caller::{Answer, CallKind, CallRequest, CallResult, Caller, Refusal};
pub use gap::{GapPoint, ServiceHistory, ServiceIncrement, largest_gap};
pub use plan::{PlannedCall, plan_calls};
pub use plot::plot_gap;
pub use profile::{LoadProfile, OrganisationLoad};
pub use report::{LatencySummary, LoadReport};
pub use run::{LoadAddresses, run_load};
pub use samples::UtilisationSample;
