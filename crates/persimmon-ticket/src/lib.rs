//! Change tickets: numbered documents that carry the whole new state of every object they touch.
//!
//! [`parse()`] reads and checks one, [`Config`] is what accepted tickets add up to, and
//! [`Config::accept()`] holds the rule by which a ticket follows another.
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
