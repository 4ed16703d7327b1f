"""
Reads a settings file, fills in the defaults and validates the result.

The shipped ``schema.json`` describes every key and ``defaults.json`` holds every
default. A problem raises ``SettingsError`` with a one-line message that names the
file and the key's path:

    entry.json: callers.port: 'http' is not of type 'integer'
"""

import functools
import json
import pathlib
import typing
from collections import abc

from acaciaward import errors, shipped

PACKAGE = "acaciaward.settings"

Settings = dict[str, typing.Any]
# Returns the first problem in effective settings, None if they are valid.
Validator = abc.Callable[[Settings], shipped.ValidationProblem | None]


@functools.cache
def _schema_check(package: str) -> Validator:
    # Imported here because entries on the platform check their settings without
    # schemas, and importing the library would slow down each of their starts.
    from acaciaward import schemas

    return schemas.Schema(package, "schema.json").find_first_problem


def load(path: str | pathlib.Path) -> Settings:
    """Return the effective settings of a file, or raise ``SettingsError``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: not UTF-8 text") from error
    try:
        given = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise errors.SettingsError(f"{path}: not JSON: {error}") from error
    return check(given, name=str(path))


def check(
    given: typing.Any,
    *,
    name: str = "settings",
    package: str = PACKAGE,
    find_first_problem: Validator | None = None,
) -> Settings:
    """
    Return the effective settings for a parsed file, or raise ``SettingsError``.

    The defaults are those of ``package``. ``find_first_problem`` validates the
    settings; by default the schema of ``package`` does.

    check({"instance": {...}, "callers": {"port": 8100}, ...})
    """
    if not isinstance(given, dict):
        raise errors.SettingsError(f"{name}: expected a JSON object")
    effective = merge_defaults(given, package=package)
    problem = (find_first_problem or _schema_check(package))(effective)
    if problem is None:
        return effective
    location = f"{name}: {problem.path}" if problem.path else name
    raise errors.SettingsError(f"{location}: {problem.reason}")


def merge_defaults(given: Settings, *, package: str = PACKAGE) -> Settings:
    """Return the settings with every missing key taken from the defaults."""
    return _merge(shipped.read(package, "defaults.json"), given)


def _merge(base: typing.Any, given: typing.Any) -> typing.Any:
    if not isinstance(base, dict) or not isinstance(given, dict):
        return given
    merged = dict(base)
    for key, value in given.items():
        merged[key] = _merge(base.get(key), value)
    return merged
