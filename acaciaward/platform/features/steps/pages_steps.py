"""Steps that hold the table of the platform's headers against the code."""

import pathlib
import re
import typing

from behave import then

from acaciaward.platform import headers

ROOT = pathlib.Path(__file__).resolve().parents[4]
TABLE = ROOT / "docs/design/endpoint-signals.md"
PACKAGE = ROOT / "acaciaward/platform"
PASSED_OVER = "passed over"
# Those of one connection, and HTTP's own, have no rule on the pages.
PLAIN_HEADERS = frozenset(
    {
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "stage",
        # Between entries only.
        "acaciaward-detour",
    }
)


class Row(typing.NamedTuple):
    """A line of the table; ``use`` says what becomes of the header."""

    header: str
    use: str
    keeper: str
    test: str


def read_rows():
    rows = []
    for line in TABLE.read_text().splitlines():
        if line.startswith("| `"):
            header, *rest = [cell.strip() for cell in line.strip("|").split("|")]
            rows.append(Row(header.strip("`").lower(), *rest))
    return rows


def find_sources():
    return "\n".join(path.read_text() for path in PACKAGE.glob("*.py")).lower()


@then("each header that is read, set or dropped is known to the platform package")
def check_known(context):
    sources = find_sources()
    rows = [row for row in read_rows() if row.use != PASSED_OVER]
    unknown = [row.header for row in rows if f'"{row.header}"' not in sources]
    assert rows and not unknown, unknown


def find_named():
    """Return the headers that the platform package decodes, sets or drops."""
    named = {value for value in vars(headers).values() if isinstance(value, bytes)}
    named |= headers.CONNECTION_HEADERS | headers.SYSTEM_HEADERS
    return {name.decode() for name in named}


@then("each header that is passed over has a reason, and isn't decoded")
def check_passed_over(context):
    rows = [row for row in read_rows() if row.use == PASSED_OVER]
    unreasoned = [row.header for row in rows if not row.keeper]
    decoded = find_named() & {row.header for row in rows}
    assert rows and not unreasoned and not decoded, (unreasoned, decoded)


@then("each header that the platform package names is listed")
def check_listed(context):
    missing = find_named() - {row.header for row in read_rows()} - PLAIN_HEADERS
    assert not missing, missing


@then("each test that is listed exists")
def check_tests(context):
    existing = {path.name for path in ROOT.rglob("*.feature")}
    listed = {
        name for row in read_rows() for name in re.findall(r"\w+\.feature", row.test)
    }
    assert listed and listed <= existing, listed - existing
