"""The coroutines of the tasks that run in a node while it is up."""

from collections.abc import Coroutine
from typing import Any

from chervilrock.clients.polled import PolledHostListSource
from chervilrock.node.core import MS_PER_S, NodeCore
from chervilrock.node.parts import NodeParts
from chervilrock.tasks.configurations import STREAM as CONFIGURATION_STREAM
from chervilrock.tasks.hosts import HostListTask
from chervilrock.tasks.loads import LoadTask
from chervilrock.tasks.log import AppendTask, ReadTask
from chervilrock.tasks.orders import OrderTask
from chervilrock.tasks.probes import ProbeTask
from chervilrock.tasks.region import RegionPorts

HOST_LIST_INTERVAL_S = 1.0
LOAD_INTERVAL_S = 0.5

Coroutines = dict[str, Coroutine[Any, Any, None]]


def list_coroutines(core: NodeCore, parts: NodeParts) -> Coroutines:
    """Return the coroutine of each task by the name of the task."""
    return {
        **_list_region(core, parts),
        **_list_configuration(core, parts),
        **_list_keys(core, parts),
        "peers": parts.peers.run(),
        "view": parts.view.run(),
    }


def _list_region(core: NodeCore, parts: NodeParts) -> Coroutines:
    """Return the region task and the tasks that exchange messages with it."""
    inbox = parts.region.inbox
    stream = core.name_stream("region")
    reader = ReadTask(
        log=parts.log, stream=stream, clock=core.clock, outbox=inbox
    )
    appender = AppendTask(
        log=parts.log, stream=stream, clock=core.clock, outbox=inbox
    )
    orders = OrderTask(engine=parts.engine, clock=core.clock, outbox=inbox)
    probes = ProbeTask(
        engine=parts.engine,
        clock=core.clock,
        interval_s=core.settings.probe_interval_ms / MS_PER_S,
        outbox=inbox,
    )
    loads = LoadTask(
        engine=parts.engine,
        clock=core.clock,
        interval_s=LOAD_INTERVAL_S,
        outboxes=(inbox, parts.view.inbox),
    )
    address = core.settings.host_list or core.settings.log_service
    hosts = HostListTask(
        source=PolledHostListSource(
            poller=core.poller,
            address=address,
            region=core.settings.region,
        ),
        clock=core.clock,
        interval_s=HOST_LIST_INTERVAL_S,
        outbox=inbox,
    )
    ports = RegionPorts(
        reader=reader,
        appender=appender,
        orders=orders,
        probes=probes.inbox,
        loads=loads.inbox,
        views=(parts.view.inbox,),
    )
    return {
        "region": parts.region.run(ports),
        "region-read": reader.run(),
        "region-append": appender.run(),
        "orders": orders.run(),
        "probes": probes.run(),
        "loads": loads.run(),
        "hosts": hosts.run(),
    }


def _list_configuration(core: NodeCore, parts: NodeParts) -> Coroutines:
    """Return the configuration task and its log reader and appender."""
    task = parts.configuration
    reader = ReadTask(
        log=parts.log,
        stream=CONFIGURATION_STREAM,
        clock=core.clock,
        outbox=task.inbox,
    )
    appender = AppendTask(
        log=parts.log,
        stream=CONFIGURATION_STREAM,
        clock=core.clock,
        outbox=task.inbox,
    )
    task.read_task = reader
    task.append_task = appender
    return {
        "configuration": task.run(),
        "configuration-read": reader.run(),
        "configuration-append": appender.run(),
    }


def _list_keys(core: NodeCore, parts: NodeParts) -> Coroutines:
    """Return the tasks that claim the idempotency keys of callers."""
    reader = ReadTask(
        log=parts.log,
        stream=core.name_stream("keys"),
        clock=core.clock,
        outbox=parts.keys.inbox,
    )
    return {"keys": parts.keys.run(), "keys-read": reader.run()}
