"""
Creates a certificate authority and certificates for new installations.

An operator with an existing authority doesn't need this: an entry accepts any PEM
files whose certificate names its IP address.

    make_authority(pathlib.Path("tls"))
    make_certificate(pathlib.Path("tls"), "10.20.1.11")
"""

import datetime
import ipaddress
import os
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from acaciaward import errors

AUTHORITY_FILE_STEM = "authority"
AUTHORITY_LIFETIME = datetime.timedelta(days=3650)
CERTIFICATE_LIFETIME = datetime.timedelta(days=90)
# Certificates are valid from a little earlier, since an instance's clock may be behind
# the operator's.
CLOCK_SKEW_ALLOWANCE = datetime.timedelta(minutes=10)
SECRET_FILE_MODE = 0o600


def make_authority(folder: pathlib.Path) -> None:
    """
    Write ``authority.pem`` and ``authority.key``.

    Raises ``OperatorError`` if there is an authority key, which is never replaced.
    """
    if (folder / f"{AUTHORITY_FILE_STEM}.key").exists():
        raise errors.OperatorError(f"{folder}: already contains an authority key")
    key = ec.generate_private_key(ec.SECP256R1())
    name = _common_name("acaciaward authority")
    builder = _certificate_builder(name, name, key.public_key(), AUTHORITY_LIFETIME)
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    builder = builder.add_extension(constraints, critical=True)
    folder.mkdir(parents=True, exist_ok=True)
    _write_key_and_certificate(
        folder, AUTHORITY_FILE_STEM, builder.sign(key, hashes.SHA256()), key
    )


def make_certificate(folder: pathlib.Path, address: str) -> int:
    """
    Write ``ADDRESS.pem`` and ``ADDRESS.key``, signed by the folder's authority.

    Returns the serial number. Replaces existing files, which renews the certificate.
    """
    try:
        ip_address = ipaddress.ip_address(address)
    except ValueError as error:
        raise errors.OperatorError(f"{address!r} is not an IP address") from error
    issuer, issuer_key = _read_authority(folder)
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _certificate_builder(
        _common_name(address), issuer.subject, key.public_key(), CERTIFICATE_LIFETIME
    )
    alternative_names = x509.SubjectAlternativeName([x509.IPAddress(ip_address)])
    builder = builder.add_extension(alternative_names, critical=False)
    certificate = builder.sign(issuer_key, hashes.SHA256())
    _write_key_and_certificate(folder, address, certificate, key)
    return certificate.serial_number


def _read_authority(
    folder: pathlib.Path,
) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    try:
        certificate = (folder / f"{AUTHORITY_FILE_STEM}.pem").read_bytes()
        key = (folder / f"{AUTHORITY_FILE_STEM}.key").read_bytes()
        return (
            x509.load_pem_x509_certificate(certificate),
            serialization.load_pem_private_key(key, password=None),
        )
    except OSError as error:
        raise errors.OperatorError(f"{error.filename}: {error.strerror}") from error
    except ValueError as error:
        raise errors.OperatorError(f"{folder}: invalid authority files") from error


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _certificate_builder(
    subject: x509.Name,
    issuer: x509.Name,
    public_key: ec.EllipticCurvePublicKey,
    lifetime: datetime.timedelta,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW_ALLOWANCE)
        .not_valid_after(now + lifetime)
    )


def _write_key_and_certificate(
    folder: pathlib.Path,
    name: str,
    certificate: x509.Certificate,
    key: ec.EllipticCurvePrivateKey,
) -> None:
    key_pem = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    write_secret(folder / f"{name}.key", key_pem)
    certificate_pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / f"{name}.pem").write_bytes(certificate_pem)


def write_secret(path: pathlib.Path, data: bytes) -> None:
    """Write a file, or raise ``OperatorError``; only the owner can read a new one."""
    try:
        descriptor = os.open(
            path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, SECRET_FILE_MODE
        )
    except OSError as error:
        raise errors.OperatorError(f"{path}: {error.strerror}") from error
    with os.fdopen(descriptor, "wb") as output:
        output.write(data)
