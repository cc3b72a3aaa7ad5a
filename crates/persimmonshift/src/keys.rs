//! Creates the certificate authority and the certificates of the daemons.

use crate::{args::KeysCreateArgs, client::Error};
use persimmon_mesh::{Authority, SetupError};
use std::{fs, path::Path};

/// Writes `authority.pem`, `authority.key`, and a certificate and a private key for each member;
/// returns the paths of the files.
pub(crate) fn create(args: &KeysCreateArgs) -> Result<Vec<String>, Error> {
    if args.member.is_empty() {
        return Err(Error::Usage(
            "keys create: name at least one --member".to_owned(),
        ));
    }
    let folder = Path::new(&args.out);
    let usage_error = |err: SetupError| Error::Usage(format!("keys create: {err}"));
    let authority = Authority::create().map_err(usage_error)?;
    let mut paths = vec![
        write(folder, "authority.pem", authority.certificate())?,
        write(folder, "authority.key", authority.private_key())?,
    ];
    for member in &args.member {
        let credentials = authority.issue(member).map_err(usage_error)?;
        paths.push(write(
            folder,
            &format!("{member}.pem"),
            &credentials.certificate,
        )?);
        paths.push(write(
            folder,
            &format!("{member}.key"),
            &credentials.private_key,
        )?);
    }
    Ok(paths)
}

fn write(folder: &Path, name: &str, text: &str) -> Result<String, Error> {
    use std::os::unix::fs::OpenOptionsExt;
    let path = folder.join(name);
    let path_text = path.display().to_string();
    let usage_error =
        |err: std::io::Error| Error::Usage(format!("keys create: {path_text}: {err}"));
    // Only the owner may read the files, since half of them hold private keys. An existing file is
    // not overwritten.
    let file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&path);
    let mut file = file.map_err(usage_error)?;
    std::io::Write::write_all(&mut file, text.as_bytes()).map_err(usage_error)?;
    Ok(path_text)
}
