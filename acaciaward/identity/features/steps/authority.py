"""A certificate authority for tests."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

LIFETIME = datetime.timedelta(days=1)


class Authority:
    """Signs certificates for the loopback address."""

    def __init__(self, folder, name):
        self.file = folder / f"{name}.pem"
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name_of(name)
        builder = self._builder(self._name, self._key.public_key())
        basic = x509.BasicConstraints(ca=True, path_length=0)
        signed = builder.add_extension(basic, critical=True).sign(
            self._key, hashes.SHA256()
        )
        self.file.write_bytes(signed.public_bytes(serialization.Encoding.PEM))

    def _builder(self, subject, public_key):
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFETIME)
            .not_valid_after(now + LIFETIME)
        )

    def issue(self, files):
        """Write a new certificate and its key; return the serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
        builder = self._builder(_name_of("entry"), key.public_key()).add_extension(
            x509.SubjectAlternativeName(names), critical=False
        )
        signed = builder.sign(self._key, hashes.SHA256())
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        for path, data in (
            (files["private_key"], private),
            (files["certificate"], signed.public_bytes(serialization.Encoding.PEM)),
        ):
            with open(path, "wb") as output:
                output.write(data)
        return signed.serial_number


def _name_of(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])
