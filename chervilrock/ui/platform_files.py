"""Files from which a stand-in of the platform takes hosts and weights."""

import pathlib
from typing import TypeVar

import msgspec

from chervilrock.generated.interfaces import HostList
from chervilrock.platform.base import Catalogue
from chervilrock.standin.platform import PlatformStandIn

T = TypeVar("T")


class PlatformFileError(Exception):
    """A file does not hold what it should; the text tells where."""


def load_platform(
    hosts: pathlib.Path | None, weights: pathlib.Path | None
) -> PlatformStandIn:
    """Makes a platform with the hosts and weights of two files.

    Raises:
      PlatformFileError: a file does not hold what it should.
    """
    models = read_file(weights, Catalogue)["models"] if weights else {}
    standin = PlatformStandIn(models=models)
    if hosts is not None:
        listed = read_file(hosts, HostList)
        standin.set_hosts(listed["hosts"], listed["services"])
    return standin


def read_file(file: pathlib.Path, kind: type[T]) -> T:
    """Returns the value that a JSON file holds.

    Raises:
      PlatformFileError: it holds no JSON of that type.
    """
    try:
        return msgspec.json.decode(file.read_bytes(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformFileError(f"{file}: {error}") from error
