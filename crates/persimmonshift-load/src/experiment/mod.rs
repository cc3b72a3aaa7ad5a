//! Experiments that replay a seeded trace through the public interface of a scheduling or routing
//! crate and, for comparison, of its baselines, if it has any.

mod engine;
mod interference;
mod peak;
mod place;
mod route;

use crate::{args::ExperimentArgs, Error};

pub(crate) fn run(args: &ExperimentArgs) -> Result<String, Error> {
    match args.name.as_str() {
        "route" => route::run(args.seed),
        "place" => Ok(place::run(args.seed)),
        "peak" => Ok(peak::run(args.seed)),
        "engine" => Ok(engine::run(args.seed)),
        "interference" => Ok(interference::run(args.seed)),
        other => {
            let known = "route, place, peak, interference or engine";
            Err(Error::new(
                "arguments",
                format!("unknown experiment {other:?}: expected {known}"),
            ))
        }
    }
}
