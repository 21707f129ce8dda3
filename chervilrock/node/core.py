"""Identity and shared tools that every part of a node needs."""

import random
from typing import NamedTuple

from chervilrock.clients.httpclient import HttpClient
from chervilrock.clients.polling import Poller
from chervilrock.decisions.records import RecordWriter
from chervilrock.generated.settings import NodeSettings
from chervilrock.metrics import Metrics
from chervilrock.tasks.clock import Clock

MS_PER_S = 1000.0


class NodeCore(NamedTuple):
    """Identity and shared tools of one run of a node.

    Attributes:
      settings: validated settings
      address: IP:port for other processes
      incarnation: identifier of this run
      clock: clock of the process, in seconds
      generator: random generator for all random choices
      metrics: metrics of the node
      http: client for the platform and for peers
      probe_http: client for orders to engines
      poller: client for periodic reads of engines and of the host list
    """

    settings: NodeSettings
    address: str
    incarnation: str
    clock: Clock
    generator: random.Random
    metrics: Metrics
    http: HttpClient
    probe_http: HttpClient
    poller: Poller

    def name_stream(self, kind: str) -> str:
        """Return the name of a log stream of the region of this node."""
        return f"{kind}.{self.settings.region}"

    def make_writer(self) -> RecordWriter:
        """Return a writer of records for one stream."""
        return RecordWriter(
            node=self.settings.node, incarnation=self.incarnation
        )
