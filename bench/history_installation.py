"""The installation of recorded runs: its stand-ins and configuration."""

from collections.abc import Iterable
from typing import Any

from bench.history_operations import Names
from chervilrock.clients.base import ModelEntry
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.standin.engine import EngineOptions
from chervilrock.standin.faults import FaultKind, FaultRule
from chervilrock.standin.history import (
    Frozen,
    History,
    Killed,
    Leaving,
    Resumed,
)
from chervilrock.standin.history_sources import (
    RecordedEngine,
    RecordedFabric,
    RecordedPlatform,
    RecordedService,
)
from chervilrock.standin.installation import Installation
from chervilrock.standin.server import StandIn
from chervilrock.standin.service import ServiceOptions

DATA_CENTRES = ("centre-1", "centre-2", "centre-3", "centre-4")
DOMAIN_SIZE = 3
REGION = "region-1"
SERVICE = "desk"
GROUPS = 3
NAMES = Names(
    models=("alpha", "beta"),
    services=(SERVICE,),
    workspaces=("north", "south"),
)
MODELS = {
    name: ModelEntry(versions=("1", "2"), adapters=(), bytes=1)
    for name in NAMES.models
}
ENGINE = EngineOptions(load_ms=100, unload_ms=20, token_ms=1, prefill_ms=2)


def make_configuration(version: str = "1") -> Configuration:
    """Return a configuration of `GROUPS` groups.

    Args:
      version: version of the model alpha.
    """
    return Configuration(
        name="site",
        data_centres=DATA_CENTRES,
        models=(
            {
                "name": "alpha",
                "version": version,
                "groups": 1,
                "hosts_per_group": 3,
                "cross_domain": "allow",
            },
            {
                "name": "beta",
                "version": "1",
                "groups": 2,
                "hosts_per_group": 2,
                "cross_domain": "allow",
            },
        ),
        services=({"name": SERVICE, "idempotent_methods": ("GET",)},),
        workspaces=({"name": "north"}, {"name": "south"}),
    )


def make_hosts(fenced: bool) -> HostList:
    """Return the host list, with the servers of the plain service.

    Args:
      fenced: whether all hosts check fencing numbers; otherwise every
        second host does.
    """
    hosts = []
    for number in range(len(DATA_CENTRES) * DOMAIN_SIZE):
        centre = DATA_CENTRES[number // DOMAIN_SIZE]
        hosts.append(
            HostEntry(
                host=f"host-{number}",
                address="127.0.0.1:0",
                data_centre=centre,
                domain=f"{centre}-fabric",
                region=REGION,
                accelerators=1,
                leaving=False,
                checks_fence=fenced or number % 2 == 0,
            )
        )
    services = tuple(
        ServiceEntry(
            service=SERVICE,
            address="127.0.0.1:0",
            data_centre=centre,
            leaving=False,
        )
        for centre in DATA_CENTRES
    )
    return HostList(hosts=tuple(hosts), services=services, age_ms=0)


class RecordedInstallation(Installation):
    """Stand-ins that record their events and the injected faults."""

    def __init__(
        self,
        *,
        history: History,
        fenced: bool = True,
        blind: bool = False,
        latency_ms: float = 5.0,
    ) -> None:
        """Create stand-ins that do not listen yet.

        Args:
          history: history that records the events.
          fenced: whether all hosts check fencing numbers.
          blind: whether the hosts of a group fail to detect the loss of
            one of them.
          latency_ms: latency of a call to the plain service, in
            milliseconds.
        """
        hosts = make_hosts(fenced)
        super().__init__(hosts=hosts, models=MODELS, engine_options=ENGINE)
        self._history = history
        fabric = RecordedFabric(history=history, blind=blind)
        self.platform = RecordedPlatform(history=history, models=MODELS)
        self.engines = {
            entry["host"]: RecordedEngine(
                history=history,
                options=ENGINE._replace(
                    host=entry["host"], checks_fence=entry["checks_fence"]
                ),
                fabric=fabric,
            )
            for entry in hosts["hosts"]
        }
        self.services = {
            name: RecordedService(
                history=history,
                options=ServiceOptions(server=name, latency_ms=latency_ms),
            )
            for name in self.services
        }

    def kill_host(self, host: str) -> None:
        """See base class."""
        self._history.note(Killed(host))
        super().kill_host(host)

    async def return_hosts(self, hosts: Iterable[str] = ()) -> None:
        """Restart the dead ones of these hosts, or of all, without a model."""
        for host in hosts or self.engines:
            if not self.engines[host].alive:
                await self.return_host(host)

    def pause_host(self, host: str) -> None:
        """Freeze a host."""
        self._history.note(Frozen(host))
        self.engines[host].faults.set_paused(True)

    def resume_host(self, host: str) -> None:
        """Resume a frozen host."""
        self.engines[host].faults.set_paused(False)
        self._history.note(Resumed(host))

    def mark_leaving(self, host: str) -> None:
        """See base class."""
        self._history.note(Leaving(host))
        super().mark_leaving(host)

    def mark_service_leaving(self, name: str) -> None:
        """Mark a server of the plain service as leaving in the host list."""
        address = self.services[name].address
        self._history.note(Leaving(address))
        listed = self.platform.list_hosts()["services"]
        entries = tuple(
            ServiceEntry(**{**entry, "leaving": True})
            for entry in listed
            if entry["address"] == address
        )
        self.platform.add_hosts((), entries)

    def add_faults(self, *kinds: FaultKind, **rule: Any) -> None:
        """Inject faults into all engines and plain services."""
        for kind in kinds:
            for server in self._list_servers():
                entry: Any = {"kind": kind, **rule}
                server.faults.add(entry)

    def add_log_fault(self, kind: FaultKind, probability: float = 1.0) -> None:
        """Inject a fault into the log service."""
        rule = FaultRule(kind=kind, path="/log", probability=probability)
        self.platform.faults.add(rule)

    def clear_faults(self) -> None:
        """Remove the faults of all engines and plain services."""
        for server in self._list_servers():
            server.faults.clear()

    def _list_servers(self) -> list[StandIn]:
        return [*self.engines.values(), *self.services.values()]
