"""An operator that records the answers of nodes in a history."""

import msgspec

from bench.history_client import CallerClient, STATUS_OK
from bench.history_installation import make_configuration
from chervilrock.generated.interfaces import Outcome
from chervilrock.generated.operators import GroupStatus, StatusAnswer
from chervilrock.standin.history import (
    ApplyTold,
    GroupsSeen,
    History,
    RevisionSeen,
)

STATUS_TIMEOUT_S = 2.0
_STATUS_CONFLICT = 409


class Operator:
    """Applies configurations and reads the status of nodes."""

    def __init__(self, *, history: History, client: CallerClient) -> None:
        """Create an operator that has sent nothing yet."""
        self._history = history
        self._client = client

    async def apply(
        self, address: str, *, name: str, base: int, version: str = "1"
    ) -> ApplyTold:
        """Apply a configuration.

        Args:
          address: address of the node that receives it.
          name: name of the operator, used for this one configuration.
          base: revision that it replaces.
          version: version of the model alpha in the configuration.
        """
        body = {
            "base_revision": base,
            "operator": name,
            "document": make_configuration(version),
        }
        answer = await self._client.send(
            "POST",
            f"http://{address}/admin/apply",
            body=msgspec.json.encode(body),
        )
        told = ApplyTold(name, None, 0)
        if answer.status in (STATUS_OK, _STATUS_CONFLICT):
            decoded = msgspec.json.decode(answer.body)
            told = ApplyTold(name, decoded["accepted"], decoded["revision"])
        elif answer.outcome == Outcome.NOT_RUN:
            told = ApplyTold(name, False, 0)
        self._history.note(told)
        return told

    async def read_status(self, address: str) -> StatusAnswer | None:
        """Return the status of a node, None when it does not answer."""
        answer = await self._client.send(
            "GET", f"http://{address}/admin/status", timeout_s=STATUS_TIMEOUT_S
        )
        if answer.status != STATUS_OK:
            return None
        status = msgspec.json.decode(answer.body, type=StatusAnswer)
        self._history.note(RevisionSeen(address, status["revision"]))
        groups = tuple(
            (group["group"], tuple(group["hosts"]))
            for group in status["groups"]
            if group["phase"] != "dissolved"
        )
        self._history.note(GroupsSeen(address, groups))
        return status


def list_serving(status: StatusAnswer, model: str = "") -> list[GroupStatus]:
    """Return the serving groups without missing hosts."""
    return [
        group
        for group in status["groups"]
        if group["phase"] == "serving"
        and not group["missing"]
        and model in ("", group["model"])
    ]
