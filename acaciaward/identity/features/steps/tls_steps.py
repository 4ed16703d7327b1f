"""Steps for TLS."""

import asyncio
import hashlib
import json
import ssl

import click.testing
import zmq
from behave import given, then, when
from cryptography import x509

from acaciaward import errors, httpclient
from acaciaward.cli import main
from acaciaward.client import caller
from acaciaward.entry import process
from acaciaward.identity import apikeys, certificates, curvekeys, tls
from acaciaward.settings import loader
from standins import log, ports

WAIT_S = 15.0
BOOTSTRAP = "first-operator"


def _settings(log_port, files):
    port = ports.find_free_port()
    return loader.check(
        {
            "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "r"},
            "callers": {"port": port, "discovery_lifetime_s": 0.1, "tls": files},
            "peers": {"port": ports.find_free_port()},
            "platform": {"log": {"address": "127.0.0.1", "port": log_port}},
            "administration": {
                "bootstrap_key_digest": hashlib.sha256(BOOTSTRAP.encode()).hexdigest()
            },
        }
    )


@given("an entry with TLS and a certificate signed by a new authority")
def start_entry(context):
    certificates.make_authority(context.folder)
    context.authority = context.folder / "authority.pem"
    context.files = {
        "certificate": str(context.folder / "127.0.0.1.pem"),
        "private_key": str(context.folder / "127.0.0.1.key"),
    }
    context.serial = certificates.make_certificate(context.folder, "127.0.0.1")
    log_standin = log.LogStandIn("127.0.0.1", ports.find_free_port())
    context.runner.run(log_standin.start())
    context.closers.append(log_standin.stop)
    settings = _settings(log_standin.port, context.files)
    context.port = settings["callers"]["port"]
    entry = process.EntryProcess(settings)
    context.runner.run(entry.start())
    context.closers.append(entry.stop)
    context.key, key_entry = apikeys.make_organisation_key("library", "key-1")
    document = {"organisations": {"library": {"keys": {"key-1": key_entry}}}}
    context.runner.run(
        entry.configuration.submit(base=0, author="test", changes=document)
    )


def _status(context, authority_file):
    runner = click.testing.CliRunner(env={"ACACIAWARD_KEY": BOOTSTRAP})
    arguments = ["status", "--entry", f"127.0.0.1:{context.port}"]
    if authority_file is not None:
        arguments += ["--ca-file", str(authority_file)]
    command = asyncio.to_thread(runner.invoke, main.cli, arguments)
    return context.runner.run(command)


@then("a caller and the command line that trust the authority are answered")
def check_trusting(context):
    result = _status(context, context.authority)
    assert result.exit_code == 0, result.output

    async def ask():
        client = caller.Caller(
            [("127.0.0.1", context.port)],
            key=context.key,
            ca_file=str(context.authority),
        )
        try:
            await client.complete("nothing", "x")
        except caller.CallerError as error:
            return error.status
        finally:
            await client.close()

    # 404 for the unknown model shows that the entry answered over TLS.
    assert context.runner.run(ask()) == 404


@then("neither a client of another authority nor plain HTTP is answered")
def check_foreign(context):
    certificates.make_authority(context.folder / "other")
    other_authority = context.folder / "other" / "authority.pem"
    assert _status(context, other_authority).exit_code == 4
    assert _status(context, None).exit_code == 4


async def _serial(context):
    tls_context = tls.client_context(str(context.authority))
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", context.port, ssl=tls_context
    )
    certificate = writer.get_extra_info("ssl_object").getpeercert(binary_form=True)
    writer.close()
    return x509.load_der_x509_certificate(certificate).serial_number


async def _get(client, port):
    async with client.send("GET", "127.0.0.1", port, "/healthz") as response:
        return json.loads(await response.read())


@when("the certificate is renewed while a connection is open")
def renew(context):
    tls_context = tls.client_context(str(context.authority))
    context.client = httpclient.HttpClient(tls=tls_context)
    context.closers.append(context.client.close)
    context.runner.run(_get(context.client, context.port))
    assert context.runner.run(_serial(context)) == context.serial
    context.serial = certificates.make_certificate(context.folder, "127.0.0.1")


@then("new connections get the new certificate and the open one stays usable")
def check_renewed(context):
    async def wait():
        async with asyncio.timeout(WAIT_S):
            while await _serial(context) != context.serial:
                await asyncio.sleep(0.1)

    context.runner.run(wait())
    (idle,) = context.client._idle["127.0.0.1", context.port]
    context.runner.run(_get(context.client, context.port))
    assert list(context.client._idle["127.0.0.1", context.port]) == [idle]


@when("the private key file is corrupted")
def corrupt(context):
    with open(context.files["private_key"], "w") as output:
        output.write("not a key")


@then("the renewed certificate stays in use")
def check_kept(context):
    files = tls.CertificateFiles(**context.files)
    context_in_use = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    reloader = tls.CertificateReloader(context_in_use, files, interval_s=1.0)
    reloader._loaded_state = None
    assert not reloader.reload_if_changed()
    assert context.runner.run(_serial(context)) == context.serial


@then("certificate files that are missing or invalid are named in the error")
def check_missing(context):
    invalid_file = context.folder / "text.pem"
    invalid_file.write_text("not a certificate")
    for path in (context.folder / "missing.pem", invalid_file):
        files = {"certificate": str(path), "private_key": str(path)}
        try:
            tls.server_context(tls.CertificateFiles(**files))
        except errors.SettingsError as error:
            assert str(path) in str(error) and "\n" not in str(error)
        else:
            raise AssertionError("the files were accepted")


@then('two runs of "acaciaward key peer" give different usable pairs')
def check_pairs(context):
    runner = click.testing.CliRunner()
    pairs = [
        json.loads(runner.invoke(main.cli, ["key", "peer"]).stdout) for _ in range(2)
    ]
    assert pairs[0] != pairs[1]
    for pair in pairs:
        assert len(pair["secret_key"]) == len(pair["public_key"]) == 40
        assert curvekeys.public_key_of(pair["secret_key"]) == pair["public_key"]
        assert zmq.curve_public(pair["secret_key"].encode()).decode() in pair.values()
