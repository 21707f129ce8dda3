"""Construction of the parts of a node and of the links between them."""

from collections.abc import Callable
from typing import NamedTuple

from chervilrock.clients.base import LogService, ModelEngine
from chervilrock.clients.http import HttpLogService
from chervilrock.clients.polled import PolledModelEngine
from chervilrock.decisions.lease import LeaseTiming, LeaseView
from chervilrock.decisions.limits.admission import Admission
from chervilrock.decisions.membership.table import MemberTable
from chervilrock.decisions.presence import PresenceTable
from chervilrock.decisions.routing.affinity import PrefixAffinity
from chervilrock.decisions.routing.base import RoutingPolicy
from chervilrock.decisions.snapshots import SnapshotPolicy, SnapshotSchedule
from chervilrock.generated.configuration import LimitSpec
from chervilrock.generated.interfaces import NodePhase, PeerNode
from chervilrock.node.core import MS_PER_S, NodeCore
from chervilrock.node.operations import NodeOperations
from chervilrock.node.requests import NodeRequests
from chervilrock.node.view import ViewTask
from chervilrock.tasks.configurations import ConfigurationTask
from chervilrock.tasks.keys import KeyTask
from chervilrock.tasks.outages import OutageLog
from chervilrock.tasks.peers import HttpPeerChannel, PeerTask
from chervilrock.tasks.region import RegionIdentity, RegionTask


class NodeParts(NamedTuple):
    """The parts that start, run and stop with a node.

    Attributes:
      log: client of the log service
      engine: control side of the engines
      table: nodes that this one has received an entry of
      admission: limits of the node
      requests: state of the node for the handlers of callers' requests
      operations: state of the node for the handlers of operators and peers
    """

    log: LogService
    engine: ModelEngine
    table: MemberTable
    admission: Admission
    view: ViewTask
    region: RegionTask
    configuration: ConfigurationTask
    keys: KeyTask
    peers: PeerTask
    requests: NodeRequests
    operations: NodeOperations


def build_parts(
    core: NodeCore, before_exchange: Callable[[], None]
) -> NodeParts:
    """Create every part of a node; no task runs yet.

    Args:
      core: identity and shared tools of the node
      before_exchange: called before each exchange with a peer
    """
    outages = OutageLog(metrics=core.metrics)
    log = HttpLogService(http=core.http, address=core.settings.log_service)
    engine = PolledModelEngine(http=core.probe_http, poller=core.poller)
    table = MemberTable(
        own=_make_own_entry(core),
        interval_s=core.settings.exchange_interval_ms / MS_PER_S,
    )
    admission = Admission(node=core.settings.node, limits=LimitSpec())
    policy = PrefixAffinity(
        rng=core.generator, data_centre=core.settings.data_centre
    )
    view = ViewTask(
        clock=core.clock,
        admission=admission,
        policy=policy,
        metrics=core.metrics,
    )
    region = _make_region(core, outages)
    configuration = ConfigurationTask(
        clock=core.clock,
        writer=core.make_writer(),
        outboxes=(region.inbox, view.inbox),
        schedule=SnapshotSchedule(policy=SnapshotPolicy()),
        outages=outages,
    )
    keys = KeyTask(
        log=log,
        stream=core.name_stream("keys"),
        clock=core.clock,
        writer=core.make_writer(),
    )
    peers = PeerTask(
        table=table,
        channel=HttpPeerChannel(http=core.http),
        localconfiguration=configuration,
        shares=admission,
        seeds=_list_seeds(core),
        clock=core.clock,
        generator=core.generator,
        before_exchange=before_exchange,
    )
    return NodeParts(
        log=log,
        engine=engine,
        table=table,
        admission=admission,
        view=view,
        region=region,
        configuration=configuration,
        keys=keys,
        peers=peers,
        requests=_make_requests(
            core, view, admission, policy, engine, table, keys
        ),
        operations=NodeOperations(
            settings=core.settings,
            clock=core.clock,
            configuration=configuration,
            region=region,
            peers=peers,
            table=table,
            admission=admission,
            metrics=core.metrics,
        ),
    )


def _make_own_entry(core: NodeCore) -> PeerNode:
    return PeerNode(
        node=core.settings.node,
        incarnation=core.incarnation,
        address=core.address,
        data_centre=core.settings.data_centre,
        region=core.settings.region,
        heartbeat=0,
        phase=NodePhase.STARTING,
        load=0.0,
        revision=0,
    )


def _make_region(core: NodeCore, outages: OutageLog) -> RegionTask:
    settings = core.settings
    writer = core.make_writer()
    timing = LeaseTiming(
        lease_s=settings.lease_ms / MS_PER_S, drift=settings.drift
    )
    return RegionTask(
        identity=RegionIdentity(
            region=settings.region,
            node=settings.node,
            address=core.address,
            lease_ms=settings.lease_ms,
        ),
        clock=core.clock,
        lease=LeaseView(
            timing=timing, writer=writer.writer, generator=core.generator
        ),
        presence=PresenceTable(
            limit=settings.presence_limit_ms / MS_PER_S, now=core.clock()
        ),
        writer=writer,
        schedule=SnapshotSchedule(policy=SnapshotPolicy()),
        metrics=core.metrics,
        outages=outages,
    )


def _make_requests(
    core: NodeCore,
    view: ViewTask,
    admission: Admission,
    policy: RoutingPolicy,
    engine: ModelEngine,
    table: MemberTable,
    keys: KeyTask,
) -> NodeRequests:
    return NodeRequests(
        settings=core.settings,
        incarnation=core.incarnation,
        clock=core.clock,
        view=view,
        admission=admission,
        policy=policy,
        engine=engine,
        metrics=core.metrics,
        table=table,
        keys=keys,
        generator=core.generator,
    )


def _list_seeds(core: NodeCore) -> tuple[str, ...]:
    return tuple(seed for seed in core.settings.peers.split(",") if seed)
