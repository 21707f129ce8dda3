"""What a site is made of: its options and its entry nodes."""

from typing import NamedTuple

from chervilrock.node.entry import EntryNode
from test.history.links import Link
from test.history.loops import Owner


class Options(NamedTuple):
    """What is special about a site.

    Attributes:
      blind: whether the hosts of a group do not notice the loss of another
      fenced: whether engines check fencing numbers; else every second does
      operations: least number of operations
      latency_ms: time of a call of the plain service
    """

    seed: int = 1
    nodes: int = 3
    blind: bool = False
    fenced: bool = True
    operations: int = 160
    latency_ms: float = 5.0


class Node(NamedTuple):
    """An entry node and the owner of everything that it runs.

    Attributes:
      link: leads from the node to the platform
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
