use super::InvalidSetting;
use std::{net::SocketAddr, ops::RangeInclusive};

/// Reads settings by name, from a flag or its environment variable, and collects the invalid ones.
pub(super) struct SettingsReader<V> {
    variable: V,
    invalid: Vec<InvalidSetting>,
}

fn variable_name(name: &str) -> String {
    format!("PERSIMMONSHIFT_{}", name.to_uppercase().replace('-', "_"))
}

impl<V: Fn(&str) -> Option<String>> SettingsReader<V> {
    pub(super) fn new(variable: V) -> Self {
        Self {
            variable,
            invalid: Vec::new(),
        }
    }

    pub(super) fn into_invalid(self) -> Vec<InvalidSetting> {
        self.invalid
    }

    pub(super) fn text(
        &mut self,
        name: &str,
        flag: &Option<String>,
        allowed: &str,
        check: impl Fn(&str) -> bool,
    ) -> Option<String> {
        let value = self.lookup(name, flag);
        let valid = value.clone().filter(|text| check(text));
        if valid.is_none() {
            self.reject(name, value, allowed);
        }
        valid
    }

    pub(super) fn secret(
        &mut self,
        name: &str,
        flag: &Option<String>,
        allowed: &str,
        bytes_min: usize,
    ) -> Option<String> {
        let value = self.lookup(name, flag);
        let valid = value.clone().filter(|text| text.len() >= bytes_min);
        if valid.is_none() {
            self.reject(name, value.map(|_| "(secret)".to_owned()), allowed);
        }
        valid
    }

    pub(super) fn pem(&mut self, name: &str, flag: &Option<String>) -> Option<String> {
        let allowed = "PEM text or the path of a readable PEM file";
        let value = self.lookup(name, flag);
        if value
            .as_ref()
            .is_some_and(|text| text.trim_start().starts_with("-----BEGIN"))
        {
            return value;
        }
        let read = value
            .as_ref()
            .and_then(|path| std::fs::read_to_string(path).ok());
        let valid = read.filter(|text| text.contains("-----BEGIN"));
        if valid.is_none() {
            self.reject(name, value, allowed);
        }
        valid
    }

    pub(super) fn address(
        &mut self,
        name: &str,
        flag: &Option<String>,
        default: Option<&str>,
    ) -> Option<SocketAddr> {
        let value = self.lookup(name, flag).or(default.map(str::to_owned));
        let valid = value.as_ref().and_then(|text| text.parse().ok());
        if valid.is_none() {
            self.reject(name, value, "IP:PORT");
        }
        valid
    }

    pub(super) fn optional_address(
        &mut self,
        name: &str,
        flag: &Option<String>,
    ) -> Option<SocketAddr> {
        self.lookup(name, flag)?;
        self.address(name, flag, None)
    }

    pub(super) fn number(
        &mut self,
        name: &str,
        flag: &Option<String>,
        default: u64,
        allowed: RangeInclusive<u64>,
    ) -> Option<u64> {
        let Some(value) = self.lookup(name, flag) else {
            return Some(default);
        };
        let valid = value.parse().ok().filter(|number| allowed.contains(number));
        if valid.is_none() {
            let range = format!(
                "a whole number from {} to {}",
                allowed.start(),
                allowed.end()
            );
            self.reject(name, Some(value), &range);
        }
        valid
    }

    fn lookup(&self, name: &str, flag: &Option<String>) -> Option<String> {
        flag.clone()
            .or_else(|| (self.variable)(&variable_name(name)))
    }

    pub(super) fn reject(&mut self, name: &str, value: Option<String>, allowed: &str) {
        self.invalid.push(InvalidSetting {
            flag: format!("--{name}"),
            variable: variable_name(name),
            value,
            allowed: allowed.to_owned(),
        });
    }
}
