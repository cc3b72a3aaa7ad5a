//! Carries out what was typed.

use crate::{
    args::{
        Args, BurnArgs, Command, JobArgs, JobCommand, JobSubmitArgs, KeysCommand, ReportCommand,
        TicketArgs, TicketCommand,
    },
    burn,
    client::{Daemon, Error},
    keys, print,
};
use persimmon_ticket::{accept, parse, Ticket, TicketWire};
use persimmon_types::{unix_ms, Clock, SystemClock};
use persimmon_wire::api::{
    BurnReport, DrainAnswer, JobList, JobView, StatusView, SubmitRequest, TicketAnswer, TicketList,
    TicketView,
};
use serde::Serialize;
use serde_json::Value;
use std::{process::ExitCode, time::Duration};

/// Does what `args` says and prints the outcome.
pub fn run(args: Args) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(args)),
        Err(err) => Err(Error::Usage(err.to_string())),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("persimmonshift: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

/// What is needed to call a daemon and show its answer.
struct Session {
    daemon: Daemon,
    json: bool,
}

impl Session {
    fn new(args: &Args) -> Result<Self, Error> {
        let set = |flag: &Option<String>, name: &str, option: &str| {
            let value = flag.clone().or_else(|| std::env::var(name).ok());
            value.ok_or_else(|| Error::Usage(format!("{option} ({name}): missing")))
        };
        let address = set(&args.daemon, "PERSIMMONSHIFT_DAEMON", "--daemon")?;
        let token = set(&args.token, "PERSIMMONSHIFT_TOKEN", "--token")?;
        let timeout = Duration::from_millis(args.timeout_ms);
        Ok(Self {
            daemon: Daemon::new(address, token, timeout)?,
            json: args.json,
        })
    }

    fn show<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) -> String {
        if self.json {
            return serde_json::to_string_pretty(value).unwrap_or_default() + "\n";
        }
        text(value)
    }
}

async fn dispatch(args: Args) -> Result<String, Error> {
    match &args.command {
        Command::Keys(keys_args) => match &keys_args.command {
            KeysCommand::Create(create) => Ok(keys::create(create)?.join("\n") + "\n"),
        },
        Command::Ticket(ticket) => run_ticket(&args, ticket).await,
        Command::Job(job) => run_job(&Session::new(&args)?, job).await,
        Command::Status(_) => {
            let session = Session::new(&args)?;
            let view: StatusView = session.daemon.get("/v1/status").await?;
            Ok(session.show(&view, print::status))
        }
        Command::Explain(explain) => {
            let session = Session::new(&args)?;
            let view: JobView = session
                .daemon
                .get(&format!("/v1/jobs/{}", explain.id))
                .await?;
            Ok(session.show(&view, print::explain))
        }
        Command::Drain(_) => {
            let session = Session::new(&args)?;
            let answer: DrainAnswer = session.daemon.post_text("/v1/drain", String::new()).await?;
            Ok(session.show(&answer, |it| {
                format!("{} drains and then exits\n", it.member)
            }))
        }
        Command::Report(report) => match &report.command {
            ReportCommand::Burn(burn) => run_burn(&Session::new(&args)?, burn).await,
        },
    }
}

async fn run_ticket(args: &Args, ticket: &TicketArgs) -> Result<String, Error> {
    match &ticket.command {
        TicketCommand::Check(check) if check.offline => {
            let (_, ticket) = read_ticket(&check.file)?;
            Ok(format!(
                "ticket {} is sound\ndigest {}\n",
                ticket.number,
                accept::digest(&ticket)
            ))
        }
        TicketCommand::Apply(apply) => {
            let (text, _) = read_ticket(&apply.file)?;
            let session = Session::new(args)?;
            let answer: TicketAnswer = session.daemon.post_text("/v1/tickets", text).await?;
            Ok(session.show(&answer, print::ticket))
        }
        TicketCommand::Check(check) => {
            let (text, _) = read_ticket(&check.file)?;
            let session = Session::new(args)?;
            let answer: TicketAnswer = session.daemon.post_text("/v1/tickets/check", text).await?;
            Ok(session.show(&answer, |it| {
                format!("ticket {} would be accepted\n", it.number)
            }))
        }
        TicketCommand::Show(show) => {
            let session = Session::new(args)?;
            let path = format!("/v1/tickets/{}", show.number);
            let view: TicketView = session.daemon.get(&path).await?;
            Ok(session.show(&view, |it| pretty(&it.ticket)))
        }
        TicketCommand::List(_) => {
            let session = Session::new(args)?;
            let list: TicketList = session.daemon.get("/v1/tickets").await?;
            Ok(session.show(&list, print::tickets))
        }
        TicketCommand::Diff(diff) => {
            let (_, ticket) = read_ticket(&diff.file)?;
            let session = Session::new(args)?;
            let list: TicketList = session.daemon.get("/v1/tickets").await?;
            let lines = difference(&list.in_force, &TicketWire::from(&ticket));
            Ok(session.show(&lines, |lines| lines.join("\n") + "\n"))
        }
    }
}

fn read_ticket(file: &str) -> Result<(String, Ticket), Error> {
    let text =
        std::fs::read_to_string(file).map_err(|err| Error::Usage(format!("{file}: {err}")))?;
    let ticket = parse(&text).map_err(|err| Error::Usage(format!("{file}: {err}")))?;
    Ok((text, ticket))
}

/// One line for each object that a ticket sets anew, changes or removes.
fn difference(old: &TicketWire, new: &TicketWire) -> Vec<String> {
    let mut lines = Vec::new();
    let pairs = [
        ("service", named(&old.service), named(&new.service)),
        (
            "batch_class",
            named(&old.batch_class),
            named(&new.batch_class),
        ),
        ("team", named(&old.team), named(&new.team)),
    ];
    for (kind, old, new) in pairs {
        for (name, value) in new {
            match old.iter().find(|(other, _)| *other == name) {
                None => lines.push(format!("+ {kind} {name} {value}")),
                Some((_, before)) if *before == value => {
                    lines.push(format!("= {kind} {name}"));
                }
                Some((_, before)) => {
                    lines.push(format!("- {kind} {name} {before}"));
                    lines.push(format!("+ {kind} {name} {value}"));
                }
            }
        }
    }
    if let Some(shares) = new.shares.filter(|shares| old.shares != Some(*shares)) {
        lines.push(format!(
            "+ shares {}",
            serde_json::to_value(shares).unwrap_or_default()
        ));
    }
    lines.extend(
        new.remove
            .iter()
            .map(|it| format!("- {} {}", it.kind, it.name)),
    );
    lines
}

fn named<T: Serialize>(objects: &[T]) -> Vec<(String, Value)> {
    let values = objects
        .iter()
        .filter_map(|object| serde_json::to_value(object).ok());
    values
        .map(|value| (value["name"].as_str().unwrap_or_default().to_owned(), value))
        .collect()
}

fn pretty<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

async fn run_job(session: &Session, job: &JobArgs) -> Result<String, Error> {
    match &job.command {
        JobCommand::Submit(submit) => {
            let request = SubmitRequest {
                key: submit.key.clone(),
                class: submit.class.clone(),
                deadline_unix_ms: deadline(submit)?,
            };
            let view: JobView = session.daemon.post_json("/v1/jobs", &request).await?;
            Ok(session.show(&view, print::job))
        }
        JobCommand::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", cancel.id);
            let view: JobView = session.daemon.delete(&path).await?;
            let never_ran = view.attempt == 0;
            let ran = if never_ran {
                "it did not run\n"
            } else {
                "it may have run in part\n"
            };
            Ok(session.show(&view, |view| print::job(view) + ran))
        }
        JobCommand::Show(show) => {
            let view: JobView = session.daemon.get(&format!("/v1/jobs/{}", show.id)).await?;
            Ok(session.show(&view, print::job))
        }
        JobCommand::List(list) => {
            let mut all: JobList = session.daemon.get("/v1/jobs").await?;
            if let Some(state) = &list.state {
                all.jobs.retain(|job| job.state == *state);
            }
            Ok(session.show(&all, |all| {
                print::jobs(&all.jobs.iter().collect::<Vec<_>>(), &all.missing_shards)
            }))
        }
    }
}

fn deadline(submit: &JobSubmitArgs) -> Result<u64, Error> {
    match (submit.due_in_s, submit.deadline_unix_ms) {
        (Some(due_in_s), None) => Ok(unix_ms(SystemClock.wall()) + due_in_s * 1_000),
        (None, Some(deadline_unix_ms)) => Ok(deadline_unix_ms),
        _ => Err(Error::Usage(
            "job submit: give one of --due-in-s and --deadline-unix-ms".to_owned(),
        )),
    }
}

async fn run_burn(session: &Session, args: &BurnArgs) -> Result<String, Error> {
    let shares: BurnReport = session.daemon.get("/v1/burn").await?;
    let unix_minute = unix_ms(SystemClock.wall()) / 60_000;
    let report = burn::merge(&shares, unix_minute, args.short_min, args.long_min);
    if let Some(path) = &args.html {
        std::fs::write(path, burn::html(&report))
            .map_err(|err| Error::Usage(format!("{path}: {err}")))?;
    }
    Ok(session.show(&report, burn::text))
}
