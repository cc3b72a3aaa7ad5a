//! Keys for the calls between daemons.

use crate::{args::KeysCreateArgs, client::Error};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use std::{fs, path::Path};

/// The name in every member's certificate, by which daemons know each other.
const PEER_NAME: &str = "persimmonshift-mesh";

/// Writes `authority.pem`, `authority.key`, and a pair of files for each member.
pub(crate) fn create(args: &KeysCreateArgs) -> Result<Vec<String>, Error> {
    if args.member.is_empty() {
        return Err(Error::Usage(
            "keys create: name at least one --member".to_owned(),
        ));
    }
    let out = Path::new(&args.out);
    let failed = |err: rcgen::Error| Error::Usage(format!("keys create: {err}"));
    let authority_key = KeyPair::generate().map_err(failed)?;
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, "persimmonshift mesh authority");
    let authority = params.self_signed(&authority_key).map_err(failed)?;
    let mut written = vec![
        write(out, "authority.pem", &authority.pem())?,
        write(out, "authority.key", &authority_key.serialize_pem())?,
    ];
    let issuer = Issuer::new(params, authority_key);
    for member in &args.member {
        let key = KeyPair::generate().map_err(failed)?;
        let mut params = CertificateParams::new(vec![PEER_NAME.to_owned()]).map_err(failed)?;
        params
            .distinguished_name
            .push(DnType::CommonName, member.as_str());
        let certificate = params.signed_by(&key, &issuer).map_err(failed)?;
        written.push(write(out, &format!("{member}.pem"), &certificate.pem())?);
        written.push(write(out, &format!("{member}.key"), &key.serialize_pem())?);
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
