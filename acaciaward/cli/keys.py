"""The ``key`` commands: make keys and certificates, and print matching changes."""

import hashlib
import json
import pathlib
import secrets
import typing

import click

from acaciaward.cli import deployments
from acaciaward.identity import apikeys, certificates, curvekeys

KEY_FILE_OPTION = click.option(
    "--key-file",
    type=click.Path(path_type=pathlib.Path),
    help="Write the key into this file instead of printing it.",
)
FOLDER_OPTION = click.option(
    "--folder",
    type=click.Path(path_type=pathlib.Path),
    default="tls",
    show_default=True,
    help="Folder of the certificate authority and its certificates.",
)


@click.group()
def key():
    """Make API keys, peer keys and certificates. An API key is shown only once."""


@key.command()
@click.argument("organisation")
@click.argument("name")
@click.option(
    "--role", type=click.Choice(["caller", "administrator"]), default="caller"
)
@KEY_FILE_OPTION
def organisation(organisation: str, name: str, role: str, key_file: pathlib.Path):
    """Make the key NAME of ORGANISATION; print it and the configuration changes."""
    secret, key_fields = apikeys.make_organisation_key(organisation, name, role)
    changes = {"organisations": {organisation: {"keys": {name: key_fields}}}}
    _print_key(secret, {"changes": changes}, key_file)


@key.command()
@click.argument("name")
@click.option("--role", type=click.Choice(["operator", "viewer"]), default="operator")
@KEY_FILE_OPTION
def operator(name: str, role: str, key_file: pathlib.Path):
    """
    Make the key of the operator NAME; print it and the configuration changes.

    Example: acaciaward key operator ana --key-file ana.key > ana.json
    """
    secret, key_fields = apikeys.make_operator_key(name, role)
    _print_key(secret, {"changes": {"operators": {name: key_fields}}}, key_file)


@key.command()
@KEY_FILE_OPTION
def bootstrap(key_file: pathlib.Path):
    """Make the first operator's key, and the digest for the settings."""
    secret = secrets.token_urlsafe(apikeys.SECRET_BYTES)
    digest = hashlib.sha256(secret.encode()).hexdigest()
    _print_key(secret, {"bootstrap_key_digest": digest}, key_file)


def _print_key(
    secret: str, fields: dict[str, typing.Any], key_file: pathlib.Path | None
) -> None:
    if key_file is None:
        fields = {"key": secret} | fields
    else:
        certificates.write_secret(key_file, f"{secret}\n".encode())
    click.echo(json.dumps(fields, indent=2))


@key.command()
def signing():
    """Make a key that signs resume tokens; print changes that set it as the first."""
    secret = secrets.token_urlsafe(apikeys.SECRET_BYTES)
    click.echo(json.dumps({"changes": {"resume_keys": [secret]}}, indent=2))


@key.command()
def peer():
    """
    Make the CURVE key pair of one entry.

    Both go into the entry's own settings under peers; the public key also goes
    into peers.allowed_public_keys of all entries. See "key peers".
    """
    pair = curvekeys.make_pair()
    click.echo(json.dumps(pair._asdict(), indent=2))


@key.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option("--renew", type=click.Path(), help="Give this file a new key pair.")
@click.option("--prune", is_flag=True, help="Remove allowed keys that no file has.")
def peers(paths: tuple[str, ...], renew: str | None, prune: bool):
    """
    Put CURVE keys into the settings files PATHS of entries.

    A file without a key pair gets one, and every file allows the keys of all
    files. Keys that are already allowed stay allowed unless pruned: when a key
    is renewed, restart the other entries first, then its own, then prune.
    """
    files = {path: deployments.read_object(path) for path in paths}
    if renew is not None and renew not in files:
        raise click.UsageError("--renew must be one of PATHS")
    if renew is not None:
        files[renew].get("peers", {}).pop("secret_key", None)
    curvekeys.exchange_public_keys(list(files.values()), prune=prune)
    for path, settings in files.items():
        text = json.dumps(settings, indent=2) + "\n"
        certificates.write_secret(pathlib.Path(path), text.encode())
        click.echo(f"{path}: {settings['peers']['public_key']}")


@key.command()
@FOLDER_OPTION
def authority(folder: pathlib.Path):
    """Make a certificate authority for entries."""
    certificates.make_authority(folder)
    click.echo(folder / f"{certificates.AUTHORITY_FILE_STEM}.pem")


@key.command()
@click.argument("address")
@FOLDER_OPTION
def certificate(address: str, folder: pathlib.Path):
    """Make or renew the certificate of the entry at the IP address ADDRESS."""
    certificates.make_certificate(folder, address)
    click.echo(folder / f"{address}.pem")
