use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    crypto::{ring, CryptoProvider},
    pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer},
    server::WebPkiClientVerifier,
    ClientConfig, RootCertStore, ServerConfig,
};
use std::{fmt, sync::Arc};

/// The name that every daemon's certificate carries.
pub const TLS_SERVER_NAME: &str = "persimmonshift-mesh";

const PROTOCOL: &[u8] = b"persimmonshift/1";

/// A daemon's keys, in PEM.
#[derive(Clone)]
pub struct Credentials {
    /// The certificates of the authorities that peers' certificates must come from. Two of them
    /// while keys are changed.
    pub authorities: String,
    /// The daemon's own certificate.
    pub certificate: String,
    /// The key that belongs to it.
    pub private_key: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Credentials(..)")
    }
}

/// The keys can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("mesh keys: {part}: {reason}")]
pub struct SetupError {
    /// The part at fault.
    pub part: &'static str,
    /// What is wrong with it; never the key itself.
    pub reason: String,
}

impl SetupError {
    fn of<E: fmt::Display>(part: &'static str) -> impl Fn(E) -> Self {
        move |err| Self {
            part,
            reason: err.to_string(),
        }
    }
}

impl Credentials {
    pub(crate) fn server(&self) -> Result<QuicServerConfig, SetupError> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.roots()?), provider())
                .build()
                .map_err(SetupError::of("authorities"))?;
        let mut config = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(SetupError::of("protocol"))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.key()?)
            .map_err(SetupError::of("certificate"))?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicServerConfig::try_from(config).map_err(SetupError::of("protocol"))
    }

    pub(crate) fn client(&self) -> Result<QuicClientConfig, SetupError> {
        let mut config = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(SetupError::of("protocol"))?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.key()?)
            .map_err(SetupError::of("certificate"))?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        QuicClientConfig::try_from(config).map_err(SetupError::of("protocol"))
    }

    fn roots(&self) -> Result<RootCertStore, SetupError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&self.authorities, "authorities")? {
            roots
                .add(certificate)
                .map_err(SetupError::of("authorities"))?;
        }
        Ok(roots)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>, SetupError> {
        certificates(&self.certificate, "certificate")
    }

    fn key(&self) -> Result<PrivateKeyDer<'static>, SetupError> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .map_err(SetupError::of("private key"))
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn certificates(pem: &str, part: &'static str) -> Result<Vec<CertificateDer<'static>>, SetupError> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let certificates = parsed.map_err(SetupError::of(part))?;
    if certificates.is_empty() {
        return Err(SetupError {
            part,
            reason: "holds no certificate".to_owned(),
        });
    }
    Ok(certificates)
}
