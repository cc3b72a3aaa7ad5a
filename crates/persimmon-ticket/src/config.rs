use crate::{BatchClass, Object, ObjectKind, Service, Shares, Team, Ticket, TicketWire};
use std::collections::BTreeMap;

/// The configuration that results from applying the accepted tickets in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Config {
    pub(crate) number: u64,
    pub(crate) digest: String,
    pub(crate) shares: Shares,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) batch_classes: BTreeMap<String, BatchClass>,
    pub(crate) teams: BTreeMap<String, Team>,
}

impl Config {
    /// Returns the number of the newest ticket, or 0 if there is none.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the digest of the newest ticket.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// Returns the current shares.
    pub fn shares(&self) -> Shares {
        self.shares
    }

    /// Returns the service named `name`.
    pub fn try_find_service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the batch class named `name`.
    pub fn try_find_class(&self, name: &str) -> Option<&BatchClass> {
        self.batch_classes.get(name)
    }

    /// Returns the team named `name`.
    pub fn try_find_team(&self, name: &str) -> Option<&Team> {
        self.teams.get(name)
    }

    /// Iterates over all services, ordered by name.
    pub fn iter_services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Iterates over all batch classes, ordered by name.
    pub fn iter_classes(&self) -> impl Iterator<Item = &BatchClass> {
        self.batch_classes.values()
    }

    /// Iterates over all teams, ordered by name.
    pub fn iter_teams(&self) -> impl Iterator<Item = &Team> {
        self.teams.values()
    }

    /// Returns whether the object exists.
    pub fn contains(&self, object: &Object) -> bool {
        match object.kind {
            ObjectKind::Service => self.services.contains_key(&object.name),
            ObjectKind::BatchClass => self.batch_classes.contains_key(&object.name),
            ObjectKind::Team => self.teams.contains_key(&object.name),
        }
    }

    /// Returns a ticket that carries the complete configuration and the newest ticket's number.
    pub fn snapshot(&self) -> TicketWire {
        TicketWire::from(&Ticket {
            number: self.number,
            shares: Some(self.shares),
            services: self.services.values().cloned().collect(),
            batch_classes: self.batch_classes.values().cloned().collect(),
            teams: self.teams.values().cloned().collect(),
            removals: Vec::new(),
        })
    }

    /// Restores a snapshot made by [`Self::snapshot()`]; `digest` is that of its newest ticket.
    pub fn from_snapshot(ticket: &Ticket, digest: String) -> Self {
        let mut config = Self::default();
        config.apply(ticket, digest);
        config
    }

    pub(crate) fn apply(&mut self, ticket: &Ticket, digest: String) {
        self.number = ticket.number;
        self.digest = digest;
        if let Some(shares) = ticket.shares {
            self.shares = shares;
        }
        for object in &ticket.removals {
            match object.kind {
                ObjectKind::Service => drop(self.services.remove(&object.name)),
                ObjectKind::BatchClass => drop(self.batch_classes.remove(&object.name)),
                ObjectKind::Team => drop(self.teams.remove(&object.name)),
            }
        }
        let key = |name: &String| name.clone();
        self.services.extend(
            ticket
                .services
                .iter()
                .map(|new| (key(&new.name), new.clone())),
        );
        self.batch_classes.extend(
            ticket
                .batch_classes
                .iter()
                .map(|new| (key(&new.name), new.clone())),
        );
        self.teams
            .extend(ticket.teams.iter().map(|new| (key(&new.name), new.clone())));
    }
}
