"""Certificates for a run: a CA of its own and a server certificate, in files, valid for a day."""

from __future__ import annotations

import datetime
from dataclasses import dataclass
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

SERVER_NAME = "orchidferry.test"
LIFETIME = datetime.timedelta(days=1)


@dataclass(frozen=True, slots=True)
class CertificateFiles:
    """Paths of the PEM files."""

    ca: Path  # certificate of the CA
    certificate: Path  # certificate of the server
    key: Path  # private key of the server


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def make(folder: Path, name: str = SERVER_NAME) -> CertificateFiles:
    """Write a CA certificate, a server certificate and the server's private key into a folder.

    :param folder: is created if it does not exist.
    :param name: host name in the server certificate.
    """
    folder.mkdir(parents=True, exist_ok=True)
    now = datetime.datetime.now(datetime.UTC)
    ca_key, server_key = ec.generate_private_key(ec.SECP256R1()), ec.generate_private_key(ec.SECP256R1())

    def sign(subject: str, key: ec.EllipticCurvePublicKey, ca: bool) -> bytes:
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(subject))
            .issuer_name(_name("orchidferry rehearsal"))
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(hours=1))
            .not_valid_after(now + LIFETIME)
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(ca_key.public_key()), critical=False
            )
        )
        if ca:
            usage = x509.KeyUsage(True, False, False, False, False, True, True, False, False)
            builder = builder.add_extension(usage, critical=True)
        else:
            builder = builder.add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        return builder.sign(ca_key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)

    files = CertificateFiles(folder / "ca.pem", folder / "server.pem", folder / "server.key")
    files.ca.write_bytes(sign("orchidferry rehearsal", ca_key.public_key(), True))
    files.certificate.write_bytes(sign(name, server_key.public_key(), False))
    files.key.touch(mode=0o600)
    files.key.write_bytes(
        server_key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return files
