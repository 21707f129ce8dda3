"""Chooses the hosts that stage the weights of a second model.

A server has one model in memory and keeps the weights of others on its host. A
host that keeps only the model in its memory cannot serve another one before a
load of ten seconds or more; a host that keeps another model can serve either
within two seconds.

Load pattern: two hosts are lost every three seconds, mostly members of
different groups. Without staging, the survivors of a group of four held weights
that no other host of their domain had, and stayed idle for the rest of the day.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.serving.groups.orders import OrderReply, Stage
from chervilrock.decisions.serving.site import EngineProfile

RETRY_S = 2.0
"""Time after which a failed order to stage is sent again; a host that gets the
order twice loads the weights once."""

LOAD_TIME_MARGIN = 1.5
"""Factor on the duration of a load after which the order is sent again to a
host that has not reported the weights. Loads take longer when more of them run
than the weight store can serve at full speed."""


class HostWeights(NamedTuple):
    """The model weights of a host.

    Attributes:
      server: identifier of its server.
      loaded: model that the server has in memory.
      staged: models whose weights are on the host.
    """

    server: str
    loaded: str
    staged: tuple[str, ...]


class _Staging(NamedTuple):
    """An order to stage.

    Attributes:
      model: the model.
      until: time at which the order expires.
      has_started: whether the server may have started the load.
    """

    model: str
    until: float
    has_started: bool


def choose_model_to_stage(
    host: HostWeights, engine: EngineProfile, sort_keys: Mapping[str, float]
) -> str:
    """Return the model that a host should stage, empty for none.

    Args:
      host: the host and its weights.
      engine: models that are served, and how many a host keeps.
      sort_keys: sort key of each model; smaller numbers come first.
    """
    known = [name for name in host.staged if name in engine.models]
    others = [name for name in known if name != host.loaded]
    if len(others) >= engine.staged_models:
        return ""
    missing = [
        name
        for name in engine.models
        if name != host.loaded and name not in host.staged
    ]
    return min(missing, key=lambda name: sort_keys.get(name, 0.0), default="")


class StagingTracker:
    """Tracks orders to stage that are in progress."""

    def __init__(self) -> None:
        """Create a tracker without orders."""
        self._in_progress: dict[str, _Staging] = {}

    def count(self, now: float) -> int:
        """Return the number of loads in progress."""
        for server, staging in list(self._in_progress.items()):
            if staging.until <= now:
                del self._in_progress[server]
        return sum(
            1 for staging in self._in_progress.values() if staging.has_started
        )

    def choose(
        self,
        hosts: Iterable[HostWeights],
        engine: EngineProfile,
        sort_keys: Mapping[str, float],
        now: float,
    ) -> list[tuple[str, Stage]]:
        """Return the servers and their orders to stage, lowest sort key first.

        Args:
          hosts: hosts that have a model in memory and load none.
          engine: models that are served.
          sort_keys: sort key of each model; smaller numbers come first.
          now: current time.
        """
        orders = []
        for host in hosts:
            staging = self._in_progress.get(host.server)
            if staging is not None and staging.model in host.staged:
                del self._in_progress[host.server]
            elif staging is not None and staging.until > now:
                continue
            model = choose_model_to_stage(host, engine, sort_keys)
            if model:
                orders.append((host.server, Stage(model)))
        return sorted(
            orders, key=lambda item: (sort_keys.get(item[1].model, 0.0), item)
        )

    def record_ordered(
        self, server: str, model: str, load_s: float, now: float
    ) -> None:
        """Record that a server was ordered to stage a model.

        Args:
          server: identifier of the server.
          model: model to stage.
          load_s: usual duration of the load, in seconds.
          now: current time.
        """
        until = now + LOAD_TIME_MARGIN * load_s + RETRY_S
        self._in_progress[server] = _Staging(model, until, True)

    def record_reply(
        self, server: str, order: Stage, reply: OrderReply | None, now: float
    ) -> None:
        """Record the reply to an order to stage, None if there was none."""
        staging = self._in_progress.get(server)
        if staging is None or staging.model != order.model:
            return
        if reply in (OrderReply.STARTED, OrderReply.DONE, None):
            # Without a reply, the server may have started the load anyway.
            return
        self._in_progress[server] = _Staging(order.model, now + RETRY_S, False)

    def forget(self, server: str) -> None:
        """Forget the order to a server that was lost or has restarted."""
        self._in_progress.pop(server, None)
