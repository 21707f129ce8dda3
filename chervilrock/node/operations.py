"""State of a node for the handlers of operators and peers."""

import asyncio
from typing import Any

import msgspec

from chervilrock.configuration.digest import digest
from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.edges.errors import CallerError
from chervilrock.edges.operators import make_unavailable_error, OperatorContext
from chervilrock.edges.peers import PeerContext
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import NodePhase, PeerDigest, PeerNode
from chervilrock.generated.operators import (
    ApplyAnswer,
    ApplyFinding,
    ApplyRequest,
    ApplyWinner,
    NodeStatus,
    StatusAnswer,
)
from chervilrock.generated.records import ConfigurationApplied
from chervilrock.generated.settings import NodeSettings
from chervilrock.metrics import Metrics
from chervilrock.node.documents import check_document
from chervilrock.tasks.clock import Clock
from chervilrock.tasks.configurations import (
    ApplyCommand,
    ApplyResult,
    ConfigurationTask,
)
from chervilrock.tasks.peers import PeerTask
from chervilrock.tasks.region import RegionTask, ReportWanted
from chervilrock.tasks.region_report import RegionReport

APPLY_TIMEOUT_S = 10.0
REPORT_TIMEOUT_S = 2.0


class NodeOperations(OperatorContext, PeerContext):
    """Answers requests of operators and peers from the state of the tasks."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        configuration: ConfigurationTask,
        region: RegionTask,
        peers: PeerTask,
        table: MemberTable,
        admission: Admission,
        metrics: Metrics,
    ) -> None:
        """Create the context from the parts of a node."""
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        self._region = region
        self._peers = peers
        self._table = table
        self._admission = admission
        self._metrics = metrics

    @property
    def ready(self) -> bool:
        """See base class."""
        return self._table.own.phase == NodePhase.SERVING

    async def apply(self, request: ApplyRequest) -> ApplyAnswer | CallerError:
        """See base class."""
        document, findings = check_document(request["document"])
        if document is None:
            return self._reject(findings)
        reply: asyncio.Future[ApplyResult | None]
        reply = asyncio.get_running_loop().create_future()
        command = ApplyCommand(
            body=make_record(request, document),
            reply=reply,
            deadline=self._clock() + APPLY_TIMEOUT_S,
        )
        await self._configuration.inbox.send(command)
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                result = await reply
        except TimeoutError:
            message = "the log service did not confirm the configuration"
            return make_unavailable_error(message, sent=True)
        if result is None:
            message = "the log service cannot be reached"
            return make_unavailable_error(message, sent=False)
        return make_answer(result)

    async def report_status(self) -> StatusAnswer:
        """See base class."""
        report = await self._request_report()
        accepted = self._configuration.in_force
        now = self._clock()
        return StatusAnswer(
            node=self._settings.node,
            region=self._settings.region,
            revision=self._configuration.revision,
            operator="" if accepted is None else accepted.operator,
            controller=report.controller,
            log_reachable=report.reachable,
            region_known=report.known,
            nodes=tuple(
                self._report_node(peer, alive)
                for peer, alive in self._table.known(now)
            ),
            groups=report.groups,
            stranded=report.stranded,
            quarantined=report.quarantined,
        )

    async def dump_state(self) -> dict[str, Any]:
        """See base class."""
        report = await self._request_report()
        accepted = self._configuration.in_force
        return {
            "settings": self._settings._asdict(),
            "own": self._table.own._asdict(),
            "peers": [
                peer._asdict()
                for peer, _ in self._table.known(self._clock())
                if peer.incarnation != self._table.own.incarnation
            ],
            "configuration": {
                "revision": self._configuration.revision,
                "known": self._configuration.known,
                "document": None if accepted is None else accepted.document,
            },
            "region": report._asdict(),
            "admission": self._admission.snapshot(),
            "mailboxes": {
                "region": {
                    "waiting": len(self._region.inbox),
                    "dropped": self._region.inbox.dropped,
                },
                "configuration": {
                    "waiting": len(self._configuration.inbox),
                    "dropped": self._configuration.inbox.dropped,
                },
            },
        }

    def render_metrics(self) -> bytes:
        """See base class."""
        return self._metrics.render()

    def answer_digest(self, digest: PeerDigest) -> PeerDigest:
        """See base class."""
        return self._peers.answer(digest)

    def _reject(self, findings: tuple[ApplyFinding, ...]) -> ApplyAnswer:
        return ApplyAnswer(
            accepted=False,
            revision=self._configuration.revision,
            findings=findings,
        )

    async def _request_report(self) -> RegionReport:
        reply: asyncio.Future[RegionReport]
        reply = asyncio.get_running_loop().create_future()
        await self._region.inbox.send(ReportWanted(reply))
        async with asyncio.timeout(REPORT_TIMEOUT_S):
            return await reply

    def _report_node(self, peer: PeerNode, alive: bool) -> NodeStatus:
        return NodeStatus(
            node=peer.node,
            address=peer.address,
            region=peer.region,
            data_centre=peer.data_centre,
            phase=peer.phase,
            alive=alive,
            revision=peer.revision,
            load=peer.load,
        )


def make_record(
    request: ApplyRequest, document: Configuration
) -> ConfigurationApplied:
    """Return the record to append for a validated configuration."""
    return ConfigurationApplied(
        base_revision=request["base_revision"],
        operator=request["operator"],
        digest=digest(document),
        document=msgspec.to_builtins(document),
    )


def make_answer(result: ApplyResult) -> ApplyAnswer:
    """Return the answer to an operator, given the outcome of the record."""
    answer = ApplyAnswer(
        accepted=result.accepted, revision=result.revision, findings=()
    )
    if result.winner is not None:
        answer["winner"] = ApplyWinner(
            revision=result.winner.revision, operator=result.winner.operator
        )
    return answer
