//! Carries out a parsed command line.

use crate::{
    args::{
        Args, BurnArgs, Command, JobArgs, JobCommand, JobSubmitArgs, KeysCommand, ReportCommand,
        TicketArgs, TicketCommand,
    },
    burn,
    client::{DaemonClient, Error},
    format, keys,
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

/// Carries out the command and prints its output or its error.
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

/// The daemon to call and the output format.
struct CommandContext {
    daemon: DaemonClient,
    json: bool,
}

impl CommandContext {
    fn new(args: &Args) -> Result<Self, Error> {
        let flag_or_env = |flag: &Option<String>, variable: &str, option: &str| {
            let value = flag.clone().or_else(|| std::env::var(variable).ok());
            value.ok_or_else(|| Error::Usage(format!("{option} ({variable}): missing")))
        };
        let address = flag_or_env(&args.daemon, "PERSIMMONSHIFT_DAEMON", "--daemon")?;
        let token = flag_or_env(&args.token, "PERSIMMONSHIFT_TOKEN", "--token")?;
        let timeout = Duration::from_millis(args.timeout_ms);
        Ok(Self {
            daemon: DaemonClient::new(address, token, timeout)?,
            json: args.json,
        })
    }

    fn render<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) -> String {
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
        Command::Job(job) => run_job(&CommandContext::new(&args)?, job).await,
        Command::Status(_) => {
            let context = CommandContext::new(&args)?;
            let view: StatusView = context.daemon.get("/v1/status").await?;
            Ok(context.render(&view, format::status))
        }
        Command::Explain(explain) => {
            let context = CommandContext::new(&args)?;
            let view: JobView = context
                .daemon
                .get(&format!("/v1/jobs/{}", explain.id))
                .await?;
            Ok(context.render(&view, format::explain))
        }
        Command::Drain(_) => {
            let context = CommandContext::new(&args)?;
            let answer: DrainAnswer = context.daemon.post_text("/v1/drain", String::new()).await?;
            Ok(context.render(&answer, |it| {
                format!("{} drains and then exits\n", it.member)
            }))
        }
        Command::Report(report) => match &report.command {
            ReportCommand::Burn(burn) => run_burn_report(&CommandContext::new(&args)?, burn).await,
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
            let context = CommandContext::new(args)?;
            let answer: TicketAnswer = context.daemon.post_text("/v1/tickets", text).await?;
            Ok(context.render(&answer, format::ticket))
        }
        TicketCommand::Check(check) => {
            let (text, _) = read_ticket(&check.file)?;
            let context = CommandContext::new(args)?;
            let answer: TicketAnswer = context.daemon.post_text("/v1/tickets/check", text).await?;
            Ok(context.render(&answer, |it| {
                format!("ticket {} would be accepted\n", it.number)
            }))
        }
        TicketCommand::Show(show) => {
            let context = CommandContext::new(args)?;
            let path = format!("/v1/tickets/{}", show.number);
            let view: TicketView = context.daemon.get(&path).await?;
            Ok(context.render(&view, |it| pretty_json(&it.ticket)))
        }
        TicketCommand::List(_) => {
            let context = CommandContext::new(args)?;
            let list: TicketList = context.daemon.get("/v1/tickets").await?;
            Ok(context.render(&list, format::tickets))
        }
        TicketCommand::Diff(diff) => {
            let (_, ticket) = read_ticket(&diff.file)?;
            let context = CommandContext::new(args)?;
            let list: TicketList = context.daemon.get("/v1/tickets").await?;
            let lines = diff_lines(&list.in_force, &TicketWire::from(&ticket));
            Ok(context.render(&lines, |lines| lines.join("\n") + "\n"))
        }
    }
}

fn read_ticket(file: &str) -> Result<(String, Ticket), Error> {
    let text =
        std::fs::read_to_string(file).map_err(|err| Error::Usage(format!("{file}: {err}")))?;
    let ticket = parse(&text).map_err(|err| Error::Usage(format!("{file}: {err}")))?;
    Ok((text, ticket))
}

/// Compares a ticket with the configuration: `+` marks what the ticket adds, `-` what it removes,
/// and `=` an object that it leaves unchanged. A replaced object gets a `-` line with its old value
/// and a `+` line with its new one; changed shares get only the `+` line.
fn diff_lines(old: &TicketWire, new: &TicketWire) -> Vec<String> {
    let mut lines = Vec::new();
    let pairs = [
        (
            "service",
            objects_by_name(&old.service),
            objects_by_name(&new.service),
        ),
        (
            "batch_class",
            objects_by_name(&old.batch_class),
            objects_by_name(&new.batch_class),
        ),
        (
            "team",
            objects_by_name(&old.team),
            objects_by_name(&new.team),
        ),
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

fn objects_by_name<T: Serialize>(objects: &[T]) -> Vec<(String, Value)> {
    let values = objects
        .iter()
        .filter_map(|object| serde_json::to_value(object).ok());
    values
        .map(|value| (value["name"].as_str().unwrap_or_default().to_owned(), value))
        .collect()
}

fn pretty_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

async fn run_job(context: &CommandContext, job: &JobArgs) -> Result<String, Error> {
    match &job.command {
        JobCommand::Submit(submit) => {
            let request = SubmitRequest {
                key: submit.key.clone(),
                class: submit.class.clone(),
                deadline_unix_ms: resolve_deadline(submit)?,
            };
            let view: JobView = context.daemon.post_json("/v1/jobs", &request).await?;
            Ok(context.render(&view, format::job))
        }
        JobCommand::Cancel(cancel) => {
            let path = format!("/v1/jobs/{}", cancel.id);
            let view: JobView = context.daemon.delete(&path).await?;
            let never_ran = view.attempt == 0;
            let ran_text = if never_ran {
                "it did not run\n"
            } else {
                "it may have run in part\n"
            };
            Ok(context.render(&view, |view| format::job(view) + ran_text))
        }
        JobCommand::Show(show) => {
            let view: JobView = context.daemon.get(&format!("/v1/jobs/{}", show.id)).await?;
            Ok(context.render(&view, format::job))
        }
        JobCommand::List(list) => {
            let mut list_response: JobList = context.daemon.get("/v1/jobs").await?;
            if let Some(state) = &list.state {
                list_response.jobs.retain(|job| job.state == *state);
            }
            Ok(context.render(&list_response, |list_response| {
                format::jobs(
                    &list_response.jobs.iter().collect::<Vec<_>>(),
                    &list_response.missing_shards,
                )
            }))
        }
    }
}

fn resolve_deadline(submit: &JobSubmitArgs) -> Result<u64, Error> {
    match (submit.due_in_s, submit.deadline_unix_ms) {
        (Some(due_in_s), None) => Ok(unix_ms(SystemClock.wall()) + due_in_s * 1_000),
        (None, Some(deadline_unix_ms)) => Ok(deadline_unix_ms),
        _ => Err(Error::Usage(
            "job submit: give one of --due-in-s and --deadline-unix-ms".to_owned(),
        )),
    }
}

async fn run_burn_report(context: &CommandContext, args: &BurnArgs) -> Result<String, Error> {
    let burn_report: BurnReport = context.daemon.get("/v1/burn").await?;
    let unix_minute = unix_ms(SystemClock.wall()) / 60_000;
    let report = burn::merge(&burn_report, unix_minute, args.short_min, args.long_min);
    if let Some(path) = &args.html {
        std::fs::write(path, burn::to_html(&report))
            .map_err(|err| Error::Usage(format!("{path}: {err}")))?;
    }
    Ok(context.render(&report, burn::to_text))
}
