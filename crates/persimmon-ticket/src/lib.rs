//! Change tickets: numbered documents that carry the complete new state of each object they change.
//!
//! [`parse()`] reads and validates a ticket, [`Config`] is the result of applying the accepted
//! tickets in order, and [`Config::accept()`] decides whether a ticket may be applied next.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod accept;
mod config;
mod model;
mod name;
pub mod parse;
mod wire;

pub use config::Config;
pub use model::{BatchClass, Object, ObjectKind, Rerun, Service, Shares, Team, Ticket};
pub use name::{is_valid_name, NAME_MAX_LEN};
pub use parse::parse;
pub use wire::{
    BatchClassWire, ObjectRefWire, RerunWire, ServiceWire, SharesWire, TeamWire, TicketWire,
};
