//! Stand-ins and scenarios of the second review: a store, runners and callers, written after the
//! users' pages. Only the standard library is used. One process holds the stand-ins; the system's
//! own processes are started with the command of the deploy file.
//!
//! Usage: harness SCENARIO RECORD. `TROUBLE=0` in the environment leaves the disruption out. Exit
//! status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod http;
mod json;
mod runner;
mod scenarios;
mod store;
mod system;

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// What happened, with times in milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let (Some(name), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: harness SCENARIO RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    record.note(&format!("scenario {name}, trouble {trouble}"));
    let verdict = scenarios::run(name, trouble, &record);
    let (code, text) = match verdict {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(what)) => (1, format!("the rule was broken: {what}")),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.note(&text);
    println!("{name}: {text}");
    std::process::exit(code);
}
