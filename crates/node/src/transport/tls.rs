//! Certificates and QUIC parameters.

use std::{path::Path, sync::Arc, time::Duration};

use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{RootCertStore, server::WebPkiClientVerifier};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};
use serde::{Deserialize, Serialize};

use super::Error;

/// The ALPN protocol ID.
const PROTOCOL: &[u8] = b"cactusroad/1";
/// The QUIC idle timeout of a connection, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Maximum number of streams that a peer may have open on a connection.
const MAX_STREAMS: u32 = 4_096;
/// Receive window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 4 * 1024 * 1024;
/// Send and receive windows of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// The PEM files that authenticate a process to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Files {
    /// The certificate of the certificate authority that all processes share.
    pub ca: String,
    /// The certificate of this process, issued for its name.
    pub certificate: String,
    /// The private key of this process.
    pub key: String,
}

/// The QUIC configurations for both sides of a mutually authenticated connection.
#[derive(Clone, Debug)]
pub struct Identity {
    pub(super) server: ServerConfig,
    pub(super) client: ClientConfig,
}

impl Identity {
    /// Reads the certificates and the key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Credentials`] with the first file that cannot be used.
    pub fn read(files: &Files) -> Result<Identity, Error> {
        let authority = certificates(&files.ca)?;
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(Path::new(&files.key))
            .map_err(|cause| file_error(&files.key, cause))?;
        let mut roots = RootCertStore::empty();
        for certificate in authority {
            roots
                .add(certificate)
                .map_err(|cause| file_error(&files.ca, cause))?;
        }
        let roots = Arc::new(roots);
        Ok(Identity {
            server: server_config(&roots, &chain, &key)
                .map_err(|cause| file_error(&files.certificate, cause))?,
            client: client_config(&roots, chain, key)
                .map_err(|cause| file_error(&files.certificate, cause))?,
        })
    }
}

fn certificates(file: &str) -> Result<Vec<CertificateDer<'static>>, Error> {
    CertificateDer::pem_file_iter(Path::new(file))
        .and_then(Iterator::collect)
        .map_err(|cause| file_error(file, cause))
}

fn file_error(file: &str, cause: impl std::fmt::Display) -> Error {
    Error::Credentials {
        file: file.to_owned(),
        cause: cause.to_string(),
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

fn server_config(
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ServerConfig, BoxError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key.clone_key())?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn client_config(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig, BoxError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(roots.clone())
        .with_client_auth_cert(chain, key)?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .initial_rtt(Duration::from_millis(20));
    config
}
