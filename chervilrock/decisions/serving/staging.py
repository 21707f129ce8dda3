"""Which hosts put the weights of a second model on themselves.

A server has one model in memory and keeps others on its host. One that keeps
the model which it has in memory anyway can serve no other one for the ten
seconds and more of a load; one that keeps another model serves either within
two seconds.

Load pattern: two hosts are lost every three seconds, mostly members of
different groups. The survivors of a group of four held weights that no other
host of their domain had, and stood idle beside it for the rest of the day.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilrock.decisions.serving.orders import OrderReply, Stage
from chervilrock.decisions.serving.site import EngineProfile

RETRY_S = 2.0
"""Time after which an order to stage that failed is given again; a host that
was told twice has loaded once."""

STAGE_MARGIN = 1.5
"""Factor on the time of a load after which a host that does not report the
weights is told again; more loads than the weight store likes take longer."""


class HostWeights(NamedTuple):
    """The weights that a host holds.

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
      until: when it is over at the latest.
      is_begun: whether the server has begun.
    """

    model: str
    until: float
    is_begun: bool


def choose_second(
    host: HostWeights, engine: EngineProfile, shortage: Mapping[str, float]
) -> str:
    """Return the model that a host should stage, empty for none.

    Args:
      host: the host.
      engine: models that are served, and how many a host keeps.
      shortage: what orders the models; a smaller number comes first.
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
    return min(missing, key=lambda one: shortage.get(one, 0.0), default="")


class StagingBook:
    """Orders to stage that are under way."""

    def __init__(self) -> None:
        """Know of none."""
        self._under_way: dict[str, _Staging] = {}

    def count(self, now: float) -> int:
        """Return the loads that are under way."""
        for server, staging in list(self._under_way.items()):
            if staging.until <= now:
                del self._under_way[server]
        return sum(1 for one in self._under_way.values() if one.is_begun)

    def choose(
        self,
        hosts: Iterable[HostWeights],
        engine: EngineProfile,
        shortage: Mapping[str, float],
        now: float,
    ) -> list[tuple[str, Stage]]:
        """Return orders to stage, by server, the most wanted first.

        Args:
          hosts: hosts that have a model in memory and load none.
          engine: models that are served.
          shortage: what orders the models; a smaller number comes first.
          now: present time.
        """
        orders = []
        for host in hosts:
            staging = self._under_way.get(host.server)
            if staging is not None and staging.model in host.staged:
                del self._under_way[host.server]
            elif staging is not None and staging.until > now:
                continue
            model = choose_second(host, engine, shortage)
            if model:
                orders.append((host.server, Stage(model)))
        return sorted(
            orders, key=lambda one: (shortage.get(one[1].model, 0.0), one)
        )

    def note_ordered(
        self, server: str, model: str, load_s: float, now: float
    ) -> None:
        """Note that a server was told to stage a model.

        Args:
          server: the server.
          model: what it loads.
          load_s: usual time of the load, in seconds.
          now: present time.
        """
        until = now + STAGE_MARGIN * load_s + RETRY_S
        self._under_way[server] = _Staging(model, until, True)

    def note_reply(
        self, server: str, order: Stage, reply: OrderReply | None, now: float
    ) -> None:
        """Take the answer to an order to stage, None when there was none."""
        staging = self._under_way.get(server)
        if staging is None or staging.model != order.model:
            return
        if reply in (OrderReply.STARTED, OrderReply.DONE, None):
            # Without an answer it may have begun all the same.
            return
        self._under_way[server] = _Staging(order.model, now + RETRY_S, False)

    def forget(self, server: str) -> None:
        """Forget a server that is gone or has started again."""
        self._under_way.pop(server, None)
