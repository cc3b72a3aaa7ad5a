//! The error type and the size limit of [`parse()`].
use crate::{is_valid_name, Object, ObjectKind, Ticket, TicketWire};
use std::collections::BTreeSet;

/// The maximum size of a ticket, in bytes; several recent tickets must fit into one store value.
pub const TICKET_MAX_BYTES: usize = 128 * 1024;

/// The error returned when a ticket is malformed or is invalid irrespective of other tickets.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ticket is larger than [`TICKET_MAX_BYTES`].
    #[error("ticket: {bytes} bytes are more than the {TICKET_MAX_BYTES} allowed")]
    TooLarge {
        /// The size of the ticket.
        bytes: usize,
    },
    /// The ticket is not valid TOML or JSON, or doesn't match the schema.
    #[error("ticket: {reason}")]
    Malformed {
        /// The message of the deserializer, which names the field.
        reason: String,
    },
    /// The value of a field is invalid.
    #[error("ticket: {field}: {reason}")]
    Field {
        /// The field, for example `service[0].slots_per_runner`.
        field: String,
        /// The constraint that the value violates.
        reason: String,
    },
}

/// Parses and validates a ticket in TOML, or in JSON if the text starts with `{`.
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
        for (index, object) in wire.remove.iter().enumerate() {
            let kind = ObjectKind::find(&object.kind).ok_or_else(|| {
                field_error(
                    format!("remove[{index}].kind"),
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

fn field_error(field: String, reason: &str) -> Error {
    Error::Field {
        field,
        reason: reason.to_owned(),
    }
}

fn ensure(ok: bool, name: impl FnOnce() -> String, reason: &str) -> Result<(), Error> {
    if ok {
        return Ok(());
    }
    Err(field_error(name(), reason))
}

fn check_numbers(wire: &TicketWire) -> Result<(), Error> {
    ensure(wire.number > 0, || "number".into(), "must be at least 1")?;
    if let Some(shares) = &wire.shares {
        let sum = u64::from(shares.latency_critical_percent) + u64::from(shares.batch_percent);
        ensure(
            sum <= 100,
            || "shares".into(),
            "must add up to 100 percent or less",
        )?;
    }
    for (index, service) in wire.service.iter().enumerate() {
        let field_name = |name: &str| format!("service[{index}].{name}");
        let allowed_slots = 1..=1024;
        ensure(
            allowed_slots.contains(&service.slots_per_runner),
            || field_name("slots_per_runner"),
            "1 to 1024",
        )?;
        let enough_connections = service.connections_per_runner >= service.slots_per_runner;
        ensure(
            enough_connections,
            || field_name("connections_per_runner"),
            "must be at least slots_per_runner",
        )?;
        let allowed_objective_millipercent = 1..=99_999;
        let requirement = "1 to 99999, in thousandths of a percent";
        ensure(
            allowed_objective_millipercent.contains(&service.objective_millipercent),
            || field_name("objective_millipercent"),
            requirement,
        )?;
        let allowed_timeout_ms = 1..=600_000;
        ensure(
            allowed_timeout_ms.contains(&service.request_timeout_ms),
            || field_name("request_timeout_ms"),
            "1 to 600000",
        )?;
        let allowed_latency_ms = 1..=service.request_timeout_ms;
        ensure(
            allowed_latency_ms.contains(&service.objective_latency_ms),
            || field_name("objective_latency_ms"),
            "1 to request_timeout_ms",
        )?;
        let allowed_body_bytes = 1..=64 * 1024 * 1024;
        ensure(
            allowed_body_bytes.contains(&service.body_max_bytes),
            || field_name("body_max_bytes"),
            "1 to 67108864",
        )?;
    }
    for (index, class) in wire.batch_class.iter().enumerate() {
        let field_name = |name: &str| format!("batch_class[{index}].{name}");
        ensure(
            class.size.cpu_millis > 0,
            || field_name("size.cpu_millis"),
            "must be at least 1",
        )?;
        ensure(
            class.run_time_ms > 0,
            || field_name("run_time_ms"),
            "must be at least 1",
        )?;
        ensure(
            (1..=100).contains(&class.attempts_max),
            || field_name("attempts_max"),
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
        let field_name = || format!("{kind} {name:?}");
        ensure(
            is_valid_name(name),
            field_name,
            "a name is 1 to 64 letters, digits, '-', '_' or '.'",
        )?;
        ensure(
            seen.insert((kind, name)),
            field_name,
            "is touched twice by one ticket",
        )?;
    }
    Ok(())
}
