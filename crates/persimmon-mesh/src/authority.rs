use crate::{tls::SetupError, Credentials, TLS_SERVER_NAME};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};

/// The certificate authority that issues the certificates by which daemons authenticate each other.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
    key: String,
}

#[allow(clippy::needless_pass_by_value)] // `map_err` passes the error by value.
fn authority_error(err: rcgen::Error) -> SetupError {
    SetupError {
        part: "authority",
        reason: err.to_string(),
    }
}

/// The certificate parameters common to all authorities.
fn ca_params() -> Result<CertificateParams, SetupError> {
    let mut params = CertificateParams::new(Vec::new()).map_err(authority_error)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, "persimmonshift mesh authority");
    Ok(params)
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    pub fn create() -> Result<Self, SetupError> {
        let key = KeyPair::generate().map_err(authority_error)?;
        let params = ca_params()?;
        let certificate = params.self_signed(&key).map_err(authority_error)?.pem();
        Ok(Self {
            certificate,
            key: key.serialize_pem(),
            issuer: Issuer::new(params, key),
        })
    }

    /// Loads an authority from its certificate and private key, both in PEM.
    pub fn from_pem(certificate: &str, key: &str) -> Result<Self, SetupError> {
        let key_pair = KeyPair::from_pem(key).map_err(authority_error)?;
        Ok(Self {
            certificate: certificate.to_owned(),
            key: key.to_owned(),
            issuer: Issuer::new(ca_params()?, key_pair),
        })
    }

    /// The authority's certificate, in PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// The authority's private key, in PEM.
    pub fn private_key(&self) -> &str {
        &self.key
    }

    /// Issues credentials for the daemon with the member id `member`.
    pub fn issue(&self, member: &str) -> Result<Credentials, SetupError> {
        let key = KeyPair::generate().map_err(authority_error)?;
        let mut params =
            CertificateParams::new(vec![TLS_SERVER_NAME.to_owned()]).map_err(authority_error)?;
        params.distinguished_name.push(DnType::CommonName, member);
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(authority_error)?;
        Ok(Credentials {
            authorities: self.certificate.clone(),
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
            reset_secret: format!("{}{member}", self.key),
        })
    }
}
