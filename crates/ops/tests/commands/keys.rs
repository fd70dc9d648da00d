use std::{fs, os::unix::fs::PermissionsExt};

use cactusroad_ops::{Exit, keys};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

#[test]
fn keys_are_private_and_readable() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path();
    let authority = keys::authority(path).expect("the authority is created");
    let process = keys::process(path, path, "entry-1", 30).expect("the certificate is created");
    for file in [
        &authority.key,
        &authority.ca,
        &process.key,
        &process.certificate,
    ] {
        let mode = fs::metadata(file)
            .expect("the file exists")
            .permissions()
            .mode();
        assert_eq!(mode & 0o777, 0o600, "{}", file.display());
    }
    CertificateDer::from_pem_file(&process.certificate).expect("the file is a certificate");
    PrivateKeyDer::from_pem_file(&process.key).expect("the file is a key");
}

#[test]
fn keys_existing_file_is_kept() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path();
    let authority = keys::authority(path).expect("the authority is created");
    let before = fs::read(&authority.key).expect("the key exists");
    let error = keys::authority(path).expect_err("the files exist");
    assert_eq!(error.exit(), Exit::Usage);
    assert_eq!(fs::read(&authority.key).expect("the key exists"), before);
}

#[test]
fn keys_bad_name_is_refused() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let path = directory.path();
    keys::authority(path).expect("the authority is created");
    for name in ["", "../x", "Entry", ".a", "a_b"] {
        let error = keys::process(path, path, name, 30).expect_err("the name is invalid");
        assert_eq!(error.exit(), Exit::Usage, "{name}");
    }
}
