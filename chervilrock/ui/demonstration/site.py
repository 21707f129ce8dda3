"""The installation of the demonstration, run in one process."""

import asyncio
from collections.abc import Awaitable, Callable
from importlib import resources
import time
from typing import NamedTuple

from returns.result import Failure

from chervilrock.clients.base import Catalogue
from chervilrock.clients.httpclient import HttpClient
from chervilrock.configuration.check import check
from chervilrock.decisions.decoding import Decoder
from chervilrock.generated.configuration import Configuration
from chervilrock.generated.interfaces import HostList
from chervilrock.generated.operators import ApplyRequest, StatusAnswer
from chervilrock.generated.settings import NodeSettings
from chervilrock.node import EntryNode
from chervilrock.standin.engine import EngineOptions
from chervilrock.standin.installation import Installation
from chervilrock.ui.client import OperatorClient

EXAMPLE = "aakashdeep"
OPERATOR = "demonstration"
LOAD_MS = 300.0
TOKEN_MS = 4.0
PREFILL_MS = 15.0
LEASE_MS = 1500
ADDRESS_TTL_S = 1.0
POLL_INTERVAL_S = 0.1
WAIT_TIMEOUT_S = 30.0


class DemonstrationError(Exception):
    """The demonstration could not be completed."""


class Example(NamedTuple):
    """Decoded files of an example."""

    configuration: Configuration
    hosts: HostList
    weights: Catalogue


def load_example(name: str = EXAMPLE) -> Example:
    """Load and check an example that is shipped with the package."""
    folder = resources.files("chervilrock") / "examples"
    hosts = Decoder(HostList).decode(
        (folder / f"{name}-hosts.json").read_bytes()
    )
    weights = Decoder(Catalogue).decode(
        (folder / f"{name}-weights.json").read_bytes()
    )
    file_name = f"{name}.yaml"
    configuration, findings = check(
        (folder / file_name).read_bytes(),
        file_name,
        hosts=hosts,
        weights=None,
    )
    if configuration is None:
        raise DemonstrationError(findings[0].render())
    return Example(configuration, hosts, weights)


class Site:
    """Stand-ins for the platform, and an entry node in each data centre.

    Attributes:
      example: configuration, hosts and weights of the installation
      installation: the stand-ins
      nodes: the entry nodes
    """

    def __init__(self, *, example: Example, http: HttpClient) -> None:
        """Create a site without starting it."""
        self.example = example
        self.installation = Installation(
            hosts=example.hosts,
            models=example.weights["models"],
            engine_options=EngineOptions(
                load_ms=LOAD_MS, token_ms=TOKEN_MS, prefill_ms=PREFILL_MS
            ),
        )
        self.nodes: list[EntryNode] = []
        self._http = http

    async def start(self) -> None:
        """Start the stand-ins and the nodes."""
        platform = await self.installation.start()
        region = self.example.hosts["hosts"][0]["region"]
        for number, data_centre in enumerate(
            self.example.configuration["data_centres"], start=1
        ):
            settings = NodeSettings(
                node=f"entry-{number}",
                listen="127.0.0.1:0",
                region=region,
                data_centre=data_centre,
                log_service=platform,
                peers=",".join(node.address for node in self.nodes),
                lease_ms=LEASE_MS,
                address_ttl_s=ADDRESS_TTL_S,
            )
            node = EntryNode(settings=settings)
            await node.start()
            self.nodes.append(node)

    async def stop(self) -> None:
        """Kill the nodes and stop the stand-ins."""
        for node in self.nodes:
            await node.kill()
        await self.installation.stop()

    async def apply(self) -> int:
        """Apply the configuration and return its revision."""
        client = OperatorClient(address=self.nodes[0].address, http=self._http)
        request = ApplyRequest(
            base_revision=0,
            operator=OPERATOR,
            document=self.example.configuration,
        )
        result = await client.apply(request)
        if isinstance(result, Failure):
            raise DemonstrationError(result.failure().message)
        answer = result.unwrap()
        if not answer["accepted"]:
            raise DemonstrationError("the configuration was not accepted")
        return answer["revision"]

    async def read_status(self, number: int = 0) -> StatusAnswer:
        """Return the status that one of the nodes reports."""
        address = self.nodes[number].address
        client = OperatorClient(address=address, http=self._http)
        result = await client.get_status()
        if isinstance(result, Failure):
            raise DemonstrationError(result.failure().message)
        return result.unwrap()

    def count_wanted(self) -> int:
        """Return the number of groups in the configuration."""
        return sum(
            model["groups"] for model in self.example.configuration["models"]
        )

    async def wait_in_force(self, revision: int) -> None:
        """Wait until every node has a revision in force."""

        async def is_done() -> bool:
            for number in range(len(self.nodes)):
                status = await self.read_status(number)
                if status["revision"] < revision:
                    return False
            return True

        await wait_until(is_done, "the configuration is not in force")

    async def wait_whole(self, number: int = 0) -> None:
        """Wait until every configured group serves."""

        async def is_done() -> bool:
            status = await self.read_status(number)
            return count_serving(status) >= self.count_wanted()

        await wait_until(is_done, "not every group serves")


def count_serving(status: StatusAnswer) -> int:
    """Return the number of serving groups without missing hosts."""
    return sum(
        1
        for group in status["groups"]
        if group["phase"] == "serving" and not group["missing"]
    )


async def wait_until(
    is_done: Callable[[], Awaitable[bool]], failure_message: str
) -> None:
    """Poll a condition for up to `WAIT_TIMEOUT_S`.

    Raises:
      DemonstrationError: the condition did not become true in time.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not await is_done():
        if time.monotonic() > deadline:
            raise DemonstrationError(failure_message)
        await asyncio.sleep(POLL_INTERVAL_S)
