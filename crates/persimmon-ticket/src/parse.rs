//! Companions of [`parse()`].
use crate::{is_valid_name, Object, ObjectKind, Ticket, TicketWire};
use std::collections::BTreeSet;

/// The largest ticket, in bytes, so that a tail of several fits one value of the store.
pub const TICKET_MAX_BYTES: usize = 128 * 1024;

/// The ticket can't be read, or breaks a rule that needs no other ticket to see.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Larger than [`TICKET_MAX_BYTES`].
    #[error("ticket: {bytes} bytes are more than the {TICKET_MAX_BYTES} allowed")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
    /// Neither TOML nor JSON of the right shape.
    #[error("ticket: {reason}")]
    Malformed {
        /// The reader's message, which names the field.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("ticket: {field}: {reason}")]
    Field {
        /// The field, for example `service[0].slots_per_runner`.
        field: String,
        /// What is allowed.
        reason: String,
    },
}

/// Reads a ticket in TOML, or in JSON when it starts with `{`, and checks it.
pub fn parse(text: &str) -> Result<Ticket, Error> {
    if text.len() > TICKET_MAX_BYTES {
        return Err(Error::TooLarge { bytes: text.len() });
    }
    let malformed = |reason: String| Error::Malformed {
        reason: reason.trim().replace('\n', " "),
    };
    let wire: TicketWire = if text.trim_start().starts_with('{') {
        serde_json::from_str(text).map_err(|err| malformed(err.to_string()))?
    } else {
        toml::from_str(text).map_err(|err| malformed(err.to_string()))?
    };
    Ticket::try_from(wire)
}

impl TryFrom<TicketWire> for Ticket {
    type Error = Error;

    fn try_from(wire: TicketWire) -> Result<Self, Error> {
        check_numbers(&wire)?;
        check_names(&wire)?;
        let mut removals = Vec::with_capacity(wire.remove.len());
        for (at, object) in wire.remove.iter().enumerate() {
            let kind = ObjectKind::find(&object.kind).ok_or_else(|| {
                field(
                    format!("remove[{at}].kind"),
                    "must be service, batch_class or team",
                )
            })?;
            removals.push(Object {
                kind,
                name: object.name.clone(),
            });
        }
        Ok(Self {
            number: wire.number,
            shares: wire.shares.map(Into::into),
            services: wire.service.into_iter().map(Into::into).collect(),
            batch_classes: wire.batch_class.into_iter().map(Into::into).collect(),
            teams: wire.team.into_iter().map(Into::into).collect(),
            removals,
        })
    }
}

fn field(field: String, reason: &str) -> Error {
    Error::Field {
        field,
        reason: reason.to_owned(),
    }
}

fn check(ok: bool, name: impl FnOnce() -> String, reason: &str) -> Result<(), Error> {
    if ok {
        return Ok(());
    }
    Err(field(name(), reason))
}

fn check_numbers(wire: &TicketWire) -> Result<(), Error> {
    check(wire.number > 0, || "number".into(), "must be at least 1")?;
    if let Some(shares) = &wire.shares {
        let sum = u64::from(shares.latency_critical_percent) + u64::from(shares.batch_percent);
        check(
            sum <= 100,
            || "shares".into(),
            "must add up to 100 percent or less",
        )?;
    }
    for (at, service) in wire.service.iter().enumerate() {
        let of = |name: &str| format!("service[{at}].{name}");
        let slots = 1..=1024;
        check(
            slots.contains(&service.slots_per_runner),
            || of("slots_per_runner"),
            "1 to 1024",
        )?;
        let enough = service.connections_per_runner >= service.slots_per_runner;
        check(
            enough,
            || of("connections_per_runner"),
            "must be at least slots_per_runner",
        )?;
        let rate = 1..=99_999;
        let allowed = "1 to 99999, in thousandths of a percent";
        check(
            rate.contains(&service.objective_millipercent),
            || of("objective_millipercent"),
            allowed,
        )?;
        let timeout = 1..=600_000;
        check(
            timeout.contains(&service.request_timeout_ms),
            || of("request_timeout_ms"),
            "1 to 600000",
        )?;
        let latency = 1..=service.request_timeout_ms;
        check(
            latency.contains(&service.objective_latency_ms),
            || of("objective_latency_ms"),
            "1 to request_timeout_ms",
        )?;
        let body = 1..=64 * 1024 * 1024;
        check(
            body.contains(&service.body_max_bytes),
            || of("body_max_bytes"),
            "1 to 67108864",
        )?;
    }
    for (at, class) in wire.batch_class.iter().enumerate() {
        let of = |name: &str| format!("batch_class[{at}].{name}");
        check(
            class.size.cpu_millis > 0,
            || of("size.cpu_millis"),
            "must be at least 1",
        )?;
        check(
            class.run_time_ms > 0,
            || of("run_time_ms"),
            "must be at least 1",
        )?;
        check(
            (1..=100).contains(&class.attempts_max),
            || of("attempts_max"),
            "1 to 100",
        )?;
    }
    Ok(())
}

fn check_names(wire: &TicketWire) -> Result<(), Error> {
    let services = wire.service.iter().map(|object| ("service", &object.name));
    let classes = wire
        .batch_class
        .iter()
        .map(|object| ("batch_class", &object.name));
    let teams = wire.team.iter().map(|object| ("team", &object.name));
    let removals = wire
        .remove
        .iter()
        .map(|object| (object.kind.as_str(), &object.name));
    let mut seen = BTreeSet::new();
    for (kind, name) in services.chain(classes).chain(teams).chain(removals) {
        let of = || format!("{kind} {name:?}");
        check(
            is_valid_name(name),
            of,
            "a name is 1 to 64 letters, digits, '-', '_' or '.'",
        )?;
        check(
            seen.insert((kind, name)),
            of,
            "is touched twice by one ticket",
        )?;
    }
    Ok(())
}
