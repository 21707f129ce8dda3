"""Orders and questions that are under way, so that none is given twice."""

from typing import NamedTuple

from chervilrock.decisions.serving.effects import Command, Effect, Question
from chervilrock.decisions.serving.orders import Order
from chervilrock.decisions.serving.site import BackendServer


class _Pause(NamedTuple):
    """An order that is not given again until some time."""

    order: Order
    until: float


class Dispatcher:
    """Gives orders and asks questions, one of a kind at a time."""

    def __init__(self) -> None:
        """Start with nothing under way."""
        self._pending: dict[str, Order] = {}
        self._pauses: dict[str, _Pause] = {}
        self._asked: dict[str, float] = {}
        self._asking: set[str] = set()

    def command(
        self, server: BackendServer | None, order: Order, now: float
    ) -> list[Effect]:
        """Give an order unless the last one is still under way."""
        if server is None or self._pending.get(server.server) == order:
            return []
        pause = self._pauses.get(server.server)
        if pause is not None and pause.order == order and pause.until > now:
            return []
        self._pending[server.server] = order
        return [Command(server, order)]

    def ask(
        self, server: BackendServer | None, pause_s: float, now: float
    ) -> list[Effect]:
        """Ask a server for its state unless it was asked just now."""
        if server is None or server.server in self._asking:
            return []
        if now - self._asked.get(server.server, 0.0) < pause_s:
            return []
        self._asking.add(server.server)
        self._asked[server.server] = now
        return [Question(server)]

    def note_reply(self, server: str, order: Order) -> None:
        """Note that an order has ended, with an answer or without."""
        if self._pending.get(server) == order:
            del self._pending[server]

    def note_report(self, server: str) -> None:
        """Note that a question has ended, with an answer or without."""
        self._asking.discard(server)

    def hold(self, server: str, order: Order, until: float) -> None:
        """Do not give an order again until some time."""
        self._pauses[server] = _Pause(order, until)

    def release(self, server: str) -> None:
        """Let the next order to a server leave at once."""
        self._pauses.pop(server, None)

    def forget(self, server: str) -> None:
        """Forget what a server was told, since it has started again."""
        self._pending.pop(server, None)
        self._pauses.pop(server, None)
        self._asked.pop(server, None)

    def forget_question(self, server: str) -> None:
        """Let the next question to a server leave at once."""
        self._asked.pop(server, None)

    def find_question(self, server: str, default: float) -> float:
        """Return when a server was last asked."""
        return self._asked.get(server, default)
