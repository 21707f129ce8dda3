"""Loads the hosts and weights of a platform stand-in from files."""

import pathlib

from chervilrock.clients.base import Catalogue
from chervilrock.generated.interfaces import HostList
from chervilrock.standin.platform import PlatformStandIn
from chervilrock.ui.check import read_json


def load_platform(
    hosts: pathlib.Path | None, weights: pathlib.Path | None
) -> PlatformStandIn:
    """Creates a platform stand-in from JSON files of hosts and weights.

    Raises:
      InputError: a file cannot be read or has the wrong content.
    """
    models = read_json(weights, Catalogue)["models"] if weights else {}
    standin = PlatformStandIn(models=models)
    if hosts is not None:
        host_list = read_json(hosts, HostList)
        standin.set_hosts(host_list["hosts"], host_list["services"])
    return standin
