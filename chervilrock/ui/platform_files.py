"""Files from which a stand-in of the platform takes hosts and weights."""

import pathlib

from chervilrock.clients.base import Catalogue
from chervilrock.generated.interfaces import HostList
from chervilrock.standin.platform import PlatformStandIn
from chervilrock.ui.check import read_json


def load_platform(
    hosts: pathlib.Path | None, weights: pathlib.Path | None
) -> PlatformStandIn:
    """Makes a platform with the hosts and weights of two JSON files.

    Raises:
      InputError: a file does not hold what it should.
    """
    models = read_json(weights, Catalogue)["models"] if weights else {}
    standin = PlatformStandIn(models=models)
    if hosts is not None:
        listed = read_json(hosts, HostList)
        standin.set_hosts(listed["hosts"], listed["services"])
    return standin
