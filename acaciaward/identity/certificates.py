"""
Makes a certificate authority and certificates for first installations.

Who has an authority already doesn't need this: an entry takes any PEM files whose
certificate names its IP number.

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

AUTHORITY = "authority"
AUTHORITY_LIFETIME = datetime.timedelta(days=3650)
CERTIFICATE_LIFETIME = datetime.timedelta(days=90)
# Clocks of instances may be a little behind that of the operator.
CLOCK_ALLOWANCE = datetime.timedelta(minutes=10)
SECRET_MODE = 0o600


def make_authority(folder: pathlib.Path) -> None:
    """Write ``authority.pem`` and ``authority.key``; never over existing ones."""
    if (folder / f"{AUTHORITY}.key").exists():
        raise errors.OperatorError(f"{folder}: there is an authority already")
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name("acaciaward authority")
    builder = _builder(name, name, key.public_key(), AUTHORITY_LIFETIME)
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    builder = builder.add_extension(constraints, critical=True)
    folder.mkdir(parents=True, exist_ok=True)
    _write(folder, AUTHORITY, builder.sign(key, hashes.SHA256()), key)


def make_certificate(folder: pathlib.Path, address: str) -> int:
    """
    Write ``ADDRESS.pem`` and ``ADDRESS.key``, signed by the folder's authority.

    Returns the serial number. Existing files are replaced, which renews them.
    """
    try:
        number = ipaddress.ip_address(address)
    except ValueError as error:
        raise errors.OperatorError(f"{address!r} is not an IP number") from error
    issuer, issuer_key = _read_authority(folder)
    key = ec.generate_private_key(ec.SECP256R1())
    builder = _builder(
        _name(address), issuer.subject, key.public_key(), CERTIFICATE_LIFETIME
    )
    names = x509.SubjectAlternativeName([x509.IPAddress(number)])
    builder = builder.add_extension(names, critical=False)
    signed = builder.sign(issuer_key, hashes.SHA256())
    _write(folder, address, signed, key)
    return signed.serial_number


def _read_authority(
    folder: pathlib.Path,
) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    try:
        certificate = (folder / f"{AUTHORITY}.pem").read_bytes()
        key = (folder / f"{AUTHORITY}.key").read_bytes()
        return (
            x509.load_pem_x509_certificate(certificate),
            serialization.load_pem_private_key(key, password=None),
        )
    except OSError as error:
        raise errors.OperatorError(f"{error.filename}: {error.strerror}") from error
    except ValueError as error:
        raise errors.OperatorError(f"{folder}: broken authority files") from error


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _builder(
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
        .not_valid_before(now - CLOCK_ALLOWANCE)
        .not_valid_after(now + lifetime)
    )


def _write(
    folder: pathlib.Path,
    name: str,
    certificate: x509.Certificate,
    key: ec.EllipticCurvePrivateKey,
) -> None:
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    write_secret(folder / f"{name}.key", private)
    public = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / f"{name}.pem").write_bytes(public)


def write_secret(path: pathlib.Path, data: bytes) -> None:
    """Write a file that only its owner may read."""
    try:
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, SECRET_MODE)
    except OSError as error:
        raise errors.OperatorError(f"{path}: {error.strerror}") from error
    with os.fdopen(number, "wb") as output:
        output.write(data)
