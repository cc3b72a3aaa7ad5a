//! Human-readable output.

use persimmon_wire::api::{JobView, StatusView, TicketAnswer, TicketList};
use std::fmt::Write;

/// Formats rows as left-aligned columns under a heading.
pub(crate) fn table(heading: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = heading.iter().map(|text| text.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let format_line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut text = format_line(&mut heading.iter().copied()) + "\n";
    for row in rows {
        text += &format_line(&mut row.iter().map(String::as_str));
        text.push('\n');
    }
    text
}

pub(crate) fn status(view: &StatusView) -> String {
    let mut text = String::new();
    let readiness = match &view.ready.reason {
        None => "ready".to_owned(),
        Some(reason) => format!("not ready: {reason}"),
    };
    let _ = writeln!(
        text,
        "member {} ({readiness}), configuration {}",
        view.member, view.config_number
    );
    let rows: Vec<_> = view
        .members
        .iter()
        .map(|member| {
            let config_number = member
                .config_number
                .map_or("?".to_owned(), |number| number.to_string());
            let state = if member.draining {
                "draining"
            } else {
                "serving"
            };
            vec![
                member.id.clone(),
                member.data_centre.clone(),
                config_number,
                state.to_owned(),
            ]
        })
        .collect();
    let _ = write!(
        text,
        "\n{}",
        table(&["MEMBER", "DATA CENTRE", "CONFIG", "STATE"], &rows)
    );
    let rows: Vec<_> = view
        .services
        .iter()
        .flat_map(|service| {
            service.endpoints.iter().map(|endpoint| {
                let in_flight = format!("{}/{}", endpoint.in_flight, endpoint.share);
                vec![
                    service.name.clone(),
                    endpoint.id.clone(),
                    endpoint.state.clone(),
                    in_flight,
                ]
            })
        })
        .collect();
    let heading = ["SERVICE", "ENDPOINT", "STATE", "IN FLIGHT/SHARE"];
    let _ = write!(text, "\n{}", table(&heading, &rows));
    let rows: Vec<_> = view
        .shards
        .iter()
        .flat_map(|shard| {
            shard.workers.iter().map(|worker| {
                vec![
                    shard.shard.to_string(),
                    worker.id.clone(),
                    worker.rack.clone(),
                    worker.state.clone(),
                    worker.tasks.to_string(),
                    worker.claimed.to_string(),
                    worker.capacity.to_string(),
                ]
            })
        })
        .collect();
    let heading = [
        "SHARD", "WORKER", "RACK", "STATE", "TASKS", "CLAIMED", "CAPACITY",
    ];
    let _ = write!(text, "\n{}", table(&heading, &rows));
    let rows: Vec<_> = view
        .shards
        .iter()
        .map(|shard| {
            let jobs = shard
                .jobs
                .iter()
                .map(|count| format!("{} {}", count.count, count.state));
            vec![
                shard.shard.to_string(),
                shard.owner.clone(),
                shard.epoch.to_string(),
                jobs.collect::<Vec<_>>().join(", "),
            ]
        })
        .collect();
    let _ = write!(
        text,
        "\n{}",
        table(&["SHARD", "OWNER", "EPOCH", "JOBS"], &rows)
    );
    if !view.missing_shards.is_empty() {
        let _ = writeln!(
            text,
            "\nno answer from the owners of shards {:?}",
            view.missing_shards
        );
    }
    text
}

pub(crate) fn job(view: &JobView) -> String {
    let worker = view.worker.as_deref().unwrap_or("-");
    let repeated = if view.repeated {
        ", accepted before"
    } else {
        ""
    };
    format!(
        "job {} ({}) {}{repeated}: class {}, attempt {}, worker {worker}, evictions {}\n",
        view.id, view.key, view.state, view.class, view.attempt, view.evictions
    )
}

pub(crate) fn jobs(views: &[&JobView], missing: &[u16]) -> String {
    let rows: Vec<_> = views
        .iter()
        .map(|view| {
            vec![
                view.id.to_string(),
                view.key.clone(),
                view.class.clone(),
                view.state.clone(),
                view.attempt.to_string(),
                view.worker.clone().unwrap_or_else(|| "-".to_owned()),
                view.evictions.to_string(),
            ]
        })
        .collect();
    let heading = [
        "JOB",
        "KEY",
        "CLASS",
        "STATE",
        "ATTEMPT",
        "WORKER",
        "EVICTIONS",
    ];
    let mut text = table(&heading, &rows);
    if !missing.is_empty() {
        let _ = writeln!(text, "no answer from the owners of shards {missing:?}");
    }
    text
}

pub(crate) fn explain(view: &JobView) -> String {
    let mut text = job(view);
    for reason in &view.reasons {
        let _ = writeln!(text, "  {reason}");
    }
    text
}

pub(crate) fn ticket(answer: &TicketAnswer) -> String {
    let repeated = if answer.repeated {
        " (it was before)"
    } else {
        ""
    };
    let status = match answer.in_force {
        true => "in force everywhere".to_owned(),
        false => format!(
            "accepted; not confirmed by {}",
            answer.waiting_for.join(", ")
        ),
    };
    format!(
        "ticket {}{repeated}: {status}\ndigest {}\n",
        answer.number, answer.digest
    )
}

pub(crate) fn tickets(list: &TicketList) -> String {
    let rows: Vec<_> = list
        .recent
        .iter()
        .map(|view| {
            let ticket = &view.ticket;
            let set_objects = ticket.service.len() + ticket.batch_class.len() + ticket.team.len();
            vec![
                ticket.number.to_string(),
                set_objects.to_string(),
                ticket.remove.len().to_string(),
                view.digest.clone(),
            ]
        })
        .collect();
    let mut text = format!("configuration {} is in force\n\n", list.in_force.number);
    text += &table(&["TICKET", "OBJECTS SET", "REMOVED", "DIGEST"], &rows);
    text
}
