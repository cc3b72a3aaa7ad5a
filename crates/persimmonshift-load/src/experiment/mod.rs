//! Experiments on decision crates.

use crate::{args::ExperimentArgs, Error};

pub(crate) fn run(args: &ExperimentArgs) -> Result<String, Error> {
    let known = "route, place, peak or interference";
    Err(Error::new(
        "arguments",
        format!("no experiment {:?}: {known}", args.name),
    ))
}
