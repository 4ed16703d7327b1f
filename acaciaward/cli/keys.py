"""The ``key`` commands: make keys and the entries to patch in for them."""

import hashlib
import json
import secrets

import click

from acaciaward.identity import apikeys, curvekeys


@click.group()
def key():
    """Make API keys. A key is shown once; the configuration keeps its hash."""


@key.command()
@click.argument("organisation")
@click.argument("name")
@click.option(
    "--role", type=click.Choice(["caller", "administrator"]), default="caller"
)
def organisation(organisation: str, name: str, role: str):
    """Make the key NAME of ORGANISATION and print it with its changes."""
    text, entry = apikeys.make_organisation_key(organisation, name, role)
    changes = {"organisations": {organisation: {"keys": {name: entry}}}}
    _print(text, changes)


@key.command()
@click.argument("name")
@click.option("--role", type=click.Choice(["operator", "viewer"]), default="operator")
def operator(name: str, role: str):
    """Make the key of the operator NAME and print it with its changes."""
    text, entry = apikeys.make_operator_key(name, role)
    _print(text, {"operators": {name: entry}})


@key.command()
def peer():
    """
    Make the CURVE key pair of one entry.

    Both go into the entry's own settings under peers; the public key also goes
    into peers.allowed_public_keys of all entries.
    """
    made = curvekeys.make_pair()
    click.echo(json.dumps(made._asdict(), indent=2))


@key.command()
def bootstrap():
    """Make a first operator's key and the digest for the settings."""
    text = secrets.token_urlsafe(apikeys.SECRET_BYTES)
    digest = hashlib.sha256(text.encode()).hexdigest()
    click.echo(json.dumps({"key": text, "bootstrap_key_digest": digest}, indent=2))


def _print(text: str, changes: dict) -> None:
    click.echo(json.dumps({"key": text, "changes": changes}, indent=2))
