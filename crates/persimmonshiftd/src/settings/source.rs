use super::Fault;
use std::{net::SocketAddr, ops::RangeInclusive};

/// Reads settings by name, from a flag or its environment variable, and gathers the faults.
pub(super) struct Source<V> {
    variable: V,
    faults: Vec<Fault>,
}

fn variable_name(name: &str) -> String {
    format!("PERSIMMONSHIFT_{}", name.to_uppercase().replace('-', "_"))
}

impl<V: Fn(&str) -> Option<String>> Source<V> {
    pub(super) fn new(variable: V) -> Self {
        Self {
            variable,
            faults: Vec::new(),
        }
    }

    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(super) fn text(
        &mut self,
        name: &str,
        flag: &Option<String>,
        allowed: &str,
        check: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let value = self.find(name, flag);
        let good = value.clone().filter(|text| check(text));
        if good.is_none() {
            self.fault(name, value, allowed);
        }
        good
    }

    pub(super) fn secret(
        &mut self,
        name: &str,
        flag: &Option<String>,
        allowed: &str,
        length_min: usize,
    ) -> Option<String> {
        let value = self.find(name, flag);
        let good = value.clone().filter(|text| text.len() >= length_min);
        if good.is_none() {
            self.fault(name, value.map(|_| "(secret)".to_owned()), allowed);
        }
        good
    }

    pub(super) fn pem(&mut self, name: &str, flag: &Option<String>) -> Option<String> {
        let allowed = "PEM text or the path of a readable PEM file";
        let value = self.find(name, flag);
        if value
            .as_ref()
            .is_some_and(|text| text.trim_start().starts_with("-----BEGIN"))
        {
            return value;
        }
        let read = value
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        let good = read.filter(|text| text.contains("-----BEGIN"));
        if good.is_none() {
            self.fault(name, value, allowed);
        }
        good
    }

    pub(super) fn address(
        &mut self,
        name: &str,
        flag: &Option<String>,
        default: Option<&str>,
    ) -> Option<SocketAddr> {
        let value = self.find(name, flag).or(default.map(str::to_owned));
        let good = value.as_ref().and_then(|text| text.parse().ok());
        if good.is_none() {
            self.fault(name, value, "IP:PORT");
        }
        good
    }

    pub(super) fn optional_address(
        &mut self,
        name: &str,
        flag: &Option<String>,
    ) -> Option<SocketAddr> {
        self.find(name, flag)?;
        self.address(name, flag, None)
    }

    pub(super) fn number(
        &mut self,
        name: &str,
        flag: &Option<String>,
        default: u64,
        allowed: RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(value) = self.find(name, flag) else {
            return Some(default);
        };
        let good = value.parse().ok().filter(|number| allowed.contains(number));
        if good.is_none() {
            let range = format!(
                "a whole number from {} to {}",
                allowed.start(),
                allowed.end()
            );
            self.fault(name, Some(value), &range);
        }
        good
    }

    fn find(&self, name: &str, flag: &Option<String>) -> Option<String> {
        flag.clone()
            .or_else(|| (self.variable)(&variable_name(name)))
    }

    pub(super) fn fault(&mut self, name: &str, value: Option<String>, allowed: &str) {
        self.faults.push(Fault {
            flag: format!("--{name}"),
            variable: variable_name(name),
            value,
            allowed: allowed.to_owned(),
        });
    }
}
