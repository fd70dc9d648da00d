//! The site's certificate authority and the certificates of its processes.
//!
//! Processes authenticate each other by mutual TLS under the site's authority. Each
//! has a key and a certificate for its name; its settings give the paths of the
//! three files as `ca`, `certificate` and `key`. All files are created with mode
//! 0600, and existing files are never overwritten.

use std::{
    fmt, fs,
    io::Write,
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
    time::Duration,
};

use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    Issuer, KeyPair, KeyUsagePurpose, date_time_ymd,
};
use serde::Serialize;

use crate::{Error, folder::file_error};

/// The common name of the certificate authority.
const AUTHORITY_NAME: &str = "cactusroad site authority";
/// The validity of the authority's certificate, in days.
const AUTHORITY_DAYS: u32 = 3_650;
/// How long before its creation a certificate becomes valid, for hosts whose clocks run behind.
const CLOCK_SKEW_DAYS: u32 = 1;
const SECONDS_PER_DAY: u64 = 86_400;

/// The paths of a certificate, its key and its authority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Files {
    /// The certificate of the authority.
    pub ca: PathBuf,
    /// The new certificate.
    pub certificate: PathBuf,
    /// The private key of the new certificate.
    pub key: PathBuf,
}

impl fmt::Display for Files {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ca: {}\ncertificate: {}\nkey: {} (keep it secret)",
            self.ca.display(),
            self.certificate.display(),
            self.key.display()
        )
    }
}

/// Creates the site's certificate authority in `directory`: `ca.pem` and `ca.key`.
///
/// # Errors
///
/// Fails if either file already exists or cannot be written.
pub fn authority(directory: &Path) -> Result<Files, Error> {
    let key = KeyPair::generate()?;
    let certificate = authority_params()?.self_signed(&key)?;
    let files = Files {
        ca: directory.join("ca.pem"),
        certificate: directory.join("ca.pem"),
        key: directory.join("ca.key"),
    };
    refuse_existing(&[files.key.as_path(), files.ca.as_path()])?;
    write_new(&files.key, &key.serialize_pem())?;
    write_new(&files.ca, &certificate.pem())?;
    Ok(files)
}

/// Creates the key and certificate of one process in `directory`, valid for `days` days
/// and signed by the authority in the directory `authority`.
///
/// # Errors
///
/// Fails if the name is invalid, the authority cannot be read, or a file already exists.
pub fn process(authority: &Path, directory: &Path, name: &str, days: u32) -> Result<Files, Error> {
    let is_name =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
    let is_hidden = name.starts_with('.');
    if name.is_empty() || is_hidden || name.len() > 63 || !name.bytes().all(is_name) {
        let text = format!(
            "`{name}` is not a valid process name; use 1 to 63 of `a-z`, `0-9`, `-` and `.`, \
             and no `.` first"
        );
        return Err(Error::Argument(text));
    }
    let ca_key = authority.join("ca.key");
    let pem = fs::read_to_string(&ca_key).map_err(|cause| file_error(&ca_key, cause))?;
    // Signing needs only the issuer's name and key, so `ca.pem` is not parsed.
    let issuer = Issuer::new(authority_params()?, KeyPair::from_pem(&pem)?);
    let key = KeyPair::generate()?;
    let certificate = process_params(name, days)?.signed_by(&key, &issuer)?;
    let files = Files {
        ca: authority.join("ca.pem"),
        certificate: directory.join(format!("{name}.pem")),
        key: directory.join(format!("{name}.key")),
    };
    refuse_existing(&[files.key.as_path(), files.certificate.as_path()])?;
    write_new(&files.key, &key.serialize_pem())?;
    write_new(&files.certificate, &certificate.pem())?;
    Ok(files)
}

fn authority_params() -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(Vec::<String>::new())?;
    params.distinguished_name = common_name(AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    set_validity(&mut params, AUTHORITY_DAYS);
    Ok(params)
}

fn process_params(name: &str, days: u32) -> Result<CertificateParams, Error> {
    let mut params = CertificateParams::new(vec![name.to_owned()])?;
    params.distinguished_name = common_name(name);
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    params.use_authority_key_identifier_extension = true;
    set_validity(&mut params, days);
    Ok(params)
}

fn common_name(name: &str) -> DistinguishedName {
    let mut names = DistinguishedName::new();
    names.push(DnType::CommonName, name);
    names
}

fn set_validity(params: &mut CertificateParams, days: u32) {
    let day = Duration::from_secs(SECONDS_PER_DAY);
    let now = jiff::Timestamp::now();
    let from = now - day * CLOCK_SKEW_DAYS;
    let until = now + day * days;
    let date = |timestamp: jiff::Timestamp| {
        let date = timestamp.to_zoned(jiff::tz::TimeZone::UTC).date();
        let month = u8::try_from(date.month()).unwrap_or(1);
        let day = u8::try_from(date.day()).unwrap_or(1);
        date_time_ymd(i32::from(date.year()), month, day)
    };
    params.not_before = date(from);
    params.not_after = date(until);
}

fn refuse_existing(paths: &[&Path]) -> Result<(), Error> {
    match paths.iter().find(|path| path.exists()) {
        None => Ok(()),
        Some(path) => Err(file_error(path, std::io::ErrorKind::AlreadyExists.into())),
    }
}

fn write_new(path: &Path, text: &str) -> Result<(), Error> {
    let mut options = fs::OpenOptions::new();
    options.write(true).create_new(true).mode(0o600);
    let mut file = options
        .open(path)
        .map_err(|cause| file_error(path, cause))?;
    file.write_all(text.as_bytes())
        .map_err(|cause| file_error(path, cause))
}
