"""A complete set of stand-ins in one event loop.

The demonstration and the tests need a platform with its host list, a model
engine on every host and the backend servers of the plain services.
"""

from collections import Counter
from collections.abc import Mapping

from chervilrock.clients.base import ModelEntry
from chervilrock.generated.interfaces import HostEntry, HostList, ServiceEntry
from chervilrock.standin.engine import EngineOptions, EngineStandIn
from chervilrock.standin.fabric import Fabric
from chervilrock.standin.platform import PlatformOptions, PlatformStandIn
from chervilrock.standin.service import ServiceOptions, ServiceStandIn


class Installation:
    """Stand-ins for everything outside the system.

    Attributes:
      platform: log service, host list and weight store
      engines: model engine of each host, by name
      services: backend servers of the plain services, by name and number
    """

    def __init__(
        self,
        *,
        hosts: HostList,
        models: Mapping[str, ModelEntry],
        engine_options: EngineOptions,
        platform_options: PlatformOptions | None = None,
    ) -> None:
        """Create stand-ins that do not listen yet.

        Args:
          hosts: hosts and backend servers; addresses are replaced
          models: models in the weight store
          engine_options: speed and sizes of every engine
          platform_options: sizes and rates of the platform
        """
        self._host_list = hosts
        fabric = Fabric()
        self.platform = PlatformStandIn(options=platform_options, models=models)
        self.engines = {
            entry["host"]: EngineStandIn(
                options=engine_options._replace(
                    host=entry["host"], checks_fence=entry["checks_fence"]
                ),
                fabric=fabric,
            )
            for entry in hosts["hosts"]
        }
        self.services = {
            f"{entry['service']}-{number}": ServiceStandIn(
                options=ServiceOptions(server=f"{entry['service']}-{number}")
            )
            for number, entry in enumerate(hosts["services"])
        }
        self._entries: dict[str, HostEntry] = {}

    async def start(self) -> str:
        """Start all stand-ins and return the address of the platform."""
        await self.platform.start()
        for entry in self._host_list["hosts"]:
            name = entry["host"]
            address = await self.engines[name].start()
            self._entries[name] = HostEntry(**{**entry, "address": address})
        services = []
        for service_entry, standin in zip(
            self._host_list["services"], self.services.values(), strict=True
        ):
            address = await standin.start()
            services.append(
                ServiceEntry(**{**service_entry, "address": address})
            )
        self.platform.set_hosts(tuple(self._entries.values()), tuple(services))
        return self.platform.address

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines.values():
            await engine.stop()
        for service in self.services.values():
            await service.stop()
        await self.platform.stop()

    def kill_host(self, host: str) -> None:
        """Kill a host; its entry stays on the lagging host list."""
        self.engines[host].kill()

    async def return_host(self, host: str) -> None:
        """Restart a dead host with an empty engine on a new port."""
        address = await self.engines[host].start()
        entry = HostEntry(**{**self._entries[host], "address": address})
        self._entries[host] = entry
        self.platform.add_hosts((entry,))

    def mark_leaving(self, host: str) -> None:
        """Mark a host as leaving on the host list."""
        entry = HostEntry(**{**self._entries[host], "leaving": True})
        self._entries[host] = entry
        self.platform.add_hosts((entry,))

    def count_calls(self) -> Counter[str]:
        """Return how often the plain services ran each call.

        A call is identified by its method and path, as in `POST /entries/7`.
        """
        total: Counter[str] = Counter()
        for service in self.services.values():
            total.update(service.calls)
        return total
