use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{
    crypto::{ring, CryptoProvider},
    pki_types::{pem::PemObject, CertificateDer, PrivateKeyDer},
    server::WebPkiClientVerifier,
    ClientConfig, RootCertStore, ServerConfig,
};
use std::{fmt, sync::Arc};

/// The subject alternative name of every daemon's certificate; the connecting daemon verifies it.
pub const TLS_SERVER_NAME: &str = "persimmonshift-mesh";

const ALPN_PROTOCOL: &[u8] = b"persimmonshift/2";

/// A daemon's certificates and private key for mutual TLS, in PEM.
#[derive(Clone)]
pub struct Credentials {
    /// The certificates of the authorities that may issue peers' certificates; two of them during
    /// a rotation of the authority.
    pub authorities: String,
    /// The daemon's own certificate.
    pub certificate: String,
    /// The private key of `certificate`.
    pub private_key: String,
    /// A secret that the daemon keeps when it restarts, so that its peers learn at once that their
    /// connections to its earlier process are gone.
    pub reset_secret: String,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("Credentials(..)")
    }
}

/// A mesh or its credentials could not be set up.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("mesh setup: {part}: {reason}")]
pub struct SetupError {
    /// The part that failed, for example `certificate` or `socket`.
    pub part: &'static str,
    /// The cause of the failure; never contains key material.
    pub reason: String,
}

impl SetupError {
    fn in_part<E: fmt::Display>(part: &'static str) -> impl Fn(E) -> Self {
        move |err| Self {
            part,
            reason: err.to_string(),
        }
    }
}

impl Credentials {
    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, SetupError> {
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::new(self.root_store()?),
            crypto_provider(),
        )
        .build()
        .map_err(SetupError::in_part("authorities"))?;
        let mut config = ServerConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(SetupError::in_part("protocol"))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.certificate_chain()?, self.parse_private_key()?)
            .map_err(SetupError::in_part("certificate"))?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        QuicServerConfig::try_from(config).map_err(SetupError::in_part("protocol"))
    }

    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, SetupError> {
        let mut config = ClientConfig::builder_with_provider(crypto_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(SetupError::in_part("protocol"))?
            .with_root_certificates(self.root_store()?)
            .with_client_auth_cert(self.certificate_chain()?, self.parse_private_key()?)
            .map_err(SetupError::in_part("certificate"))?;
        config.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        QuicClientConfig::try_from(config).map_err(SetupError::in_part("protocol"))
    }

    fn root_store(&self) -> Result<RootCertStore, SetupError> {
        let mut roots = RootCertStore::empty();
        for certificate in parse_certificates(&self.authorities, "authorities")? {
            roots
                .add(certificate)
                .map_err(SetupError::in_part("authorities"))?;
        }
        Ok(roots)
    }

    fn certificate_chain(&self) -> Result<Vec<CertificateDer<'static>>, SetupError> {
        parse_certificates(&self.certificate, "certificate")
    }

    fn parse_private_key(&self) -> Result<PrivateKeyDer<'static>, SetupError> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .map_err(SetupError::in_part("private key"))
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

fn parse_certificates(
    pem: &str,
    part: &'static str,
) -> Result<Vec<CertificateDer<'static>>, SetupError> {
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    let certificates = parsed.map_err(SetupError::in_part(part))?;
    if certificates.is_empty() {
        return Err(SetupError {
            part,
            reason: "PEM text contains no certificate".to_owned(),
        });
    }
    Ok(certificates)
}
