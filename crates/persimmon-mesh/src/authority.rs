use crate::{tls::SetupError, Credentials, TLS_SERVER_NAME};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};

/// Issues the certificates by which daemons know each other.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
    key: String,
}

#[allow(clippy::needless_pass_by_value)] // The shape that `map_err` takes.
fn failed(err: rcgen::Error) -> SetupError {
    SetupError {
        part: "authority",
        reason: err.to_string(),
    }
}

/// What every authority's certificate says besides its key.
fn params() -> Result<CertificateParams, SetupError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(failed)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, "persimmonshift mesh authority");
    Ok(params)
}

impl Authority {
    /// A new authority with a key of its own.
    pub fn create() -> Result<Self, SetupError> {
        let key = KeyPair::generate().map_err(failed)?;
        let params = params()?;
        let certificate = params.self_signed(&key).map_err(failed)?.pem();
        Ok(Self {
            certificate,
            key: key.serialize_pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// The authority with this certificate and key, both in PEM.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, SetupError> {
        let pair = KeyPair::from_pem(key).map_err(failed)?;
        Ok(Self {
            certificate: certificate.to_owned(),
            key: key.to_owned(),
            issuer: Issuer::new(params()?, pair),
        })
    }

    /// Its certificate, in PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Its key, in PEM.
    pub fn private_key(&self) -> &str {
        &self.key
    }

    /// Credentials for the daemon called `member`.
    pub fn issue(&self, member: &str) -> Result<Credentials, SetupError> {
        let key = KeyPair::generate().map_err(failed)?;
        let mut params =
            CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()]).map_err(failed)?;
        params.distinguished_name.push(DnType::CommonName, member);
        let certificate = params.signed_by(&key, &self.issuer).map_err(failed)?;
        Ok(Credentials {
            authorities: self.certificate.clone(),
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
        })
    }
}
