"""Options of a site and its entry nodes."""

from typing import NamedTuple

from chervilrock.node.entry import EntryNode
from test.history.links import Link
from test.history.loops import Owner


class Options(NamedTuple):
    """Options of a site.

    Attributes:
      blind: whether the hosts of a group do not detect the loss of another
      fenced: whether all engines check fencing numbers, or only every second
      operations: minimum number of operations
      latency_ms: duration of a call of the plain service
    """

    seed: int = 1
    nodes: int = 3
    blind: bool = False
    fenced: bool = True
    operations: int = 160
    latency_ms: float = 5.0


class Node(NamedTuple):
    """An entry node and the owner of its tasks and callbacks.

    Attributes:
      link: network path from the node to the platform
    """

    entry: EntryNode
    owner: Owner
    link: Link

    @property
    def name(self) -> str:
        return self.entry.name

    @property
    def address(self) -> str:
        return self.entry.address
