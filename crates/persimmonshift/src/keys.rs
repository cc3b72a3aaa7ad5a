//! Keys for the calls between daemons.

use crate::{args::KeysCreateArgs, client::Error};
use persimmon_mesh::{Authority, SetupError};
use std::{fs, path::Path};

/// Writes `authority.pem`, `authority.key`, and a pair of files for each member.
pub(crate) fn create(args: &KeysCreateArgs) -> Result<Vec<String>, Error> {
    if args.member.is_empty() {
        return Err(Error::Usage(
            "keys create: name at least one --member".to_owned(),
        ));
    }
    let out = Path::new(&args.out);
    let failed = |err: SetupError| Error::Usage(format!("keys create: {err}"));
    let authority = Authority::create().map_err(failed)?;
    let mut written = vec![
        write(out, "authority.pem", authority.certificate())?,
        write(out, "authority.key", authority.private_key())?,
    ];
    for member in &args.member {
        let keys = authority.issue(member).map_err(failed)?;
        written.push(write(out, &format!("{member}.pem"), &keys.certificate)?);
        written.push(write(out, &format!("{member}.key"), &keys.private_key)?);
    }
    Ok(written)
}

fn write(folder: &Path, name: &str, text: &str) -> Result<String, Error> {
    use std::os::unix::fs::OpenOptionsExt;
    let path = folder.join(name);
    let shown = path.display().to_string();
    let failed = |err: std::io::Error| Error::Usage(format!("keys create: {shown}: {err}"));
    // Readable by its owner only, since half of these files are secrets.
    let file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&path);
    let mut file = file.map_err(failed)?;
    std::io::Write::write_all(&mut file, text.as_bytes()).map_err(failed)?;
    Ok(shown)
}
