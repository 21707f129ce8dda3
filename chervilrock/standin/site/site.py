"""An installation on loopback: store, servers and configuration."""

from collections.abc import Collection, Mapping, Sequence
from typing import Any

from tornado import httpserver, netutil

from chervilrock.standin.site.servers import Crash, CrashForm, SiteServer
from chervilrock.standin.site.store import SiteStore, StoreDoor

MODEL_SERVICE = "drafts"
PLAIN_SERVICE = "desk"
HOST = "site.example"
KEY = "key-one"
WORKSPACE = "brokers"
LARGE = "large"
SMALL = "small"


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it.

    Args:
      version: revision of the configuration.
      **changes: top-level fields that replace the default ones.
    """
    stream = {
        "host": HOST,
        "route_type": "streaming",
        "timeout_ms": 4000,
        "slo_target_ms": 500,
        "gap_aim_ms": 300,
        "priority": 1,
        "service": MODEL_SERVICE,
        "max_attempts": 2,
        "stream_resume": True,
    }
    plain = {"host": HOST, "timeout_ms": 2000, "service": PLAIN_SERVICE}
    document = {
        "version": version,
        "routes": [
            stream | {"name": "draft", "path_prefix": "/draft/"},
            plain
            | {
                "name": "book",
                "path_prefix": "/book/",
                "route_type": "non_idempotent",
                "max_attempts": 1,
            },
            plain
            | {
                "name": "look",
                "path_prefix": "/look/",
                "route_type": "idempotent",
                "max_attempts": 2,
            },
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "health_path": "/health",
                "engine": {
                    "slots": 4,
                    "step_ms": 2.0,
                    "per_seq_ms": 0.2,
                    "stride": 2,
                    "read_per_s": 46000.0,
                    "chunk": 2048,
                    "form_ms": 20.0,
                    "loads_per_s": 10.0,
                    "loads_at_once": 6,
                    "models": [_model(LARGE, 2), _model(SMALL, 1)],
                },
            },
            {"name": PLAIN_SERVICE, "health_path": "/health"},
        ],
        "limits": {"idle_timeout_ms": 15000},
        "tenants": [{"name": WORKSPACE, "api_keys": [KEY], "priority": 1}],
    }
    return document | changes


def _model(name: str, size: int) -> dict[str, Any]:
    return {
        "name": name,
        "size": size,
        "share": 0.5,
        "pace": 1.0,
        "load_s": 0.1,
        "warm_s": 0.05,
    }


class Site:
    """Store and servers of an installation.

    Attributes:
      store: the store.
      servers: all servers that were started.
      store_address: IP:port of the store, empty before `start`.
      crashing_bodies: bodies of requests that crash the servers.
      crashing_parts: parts of prompts that crash the servers, and how.
    """

    def __init__(self) -> None:
        """Create an installation that does not listen yet."""
        self.store = SiteStore()
        self.servers: list[SiteServer] = []
        self.crashing_bodies: set[bytes] = set()
        self.crashing_parts: dict[str, CrashForm] = {}
        self._store_listeners: list[httpserver.HTTPServer] = []
        self.store_address = ""

    def start(
        self,
        *,
        model_servers: int = 8,
        plain_servers: int = 2,
        data_centres: Sequence[str] = ("a",),
    ) -> None:
        """Start the store, write the configuration and start the servers.

        Args:
          model_servers: number of hosts for groups; four form a fabric domain.
          plain_servers: number of servers of the plain service.
          data_centres: the fabric domains, and the plain servers, lie in them
            by turns.
        """
        self.store_address = self.open_door(self.store.door)
        self.store.write_configuration(make_configuration())
        for number in range(model_servers):
            domain = number // 4
            self.add_model_server(
                f"d{domain}", data_centres[domain % len(data_centres)]
            )
        for number in range(plain_servers):
            self.add_server(
                SiteServer(
                    store=self.store,
                    service=PLAIN_SERVICE,
                    data_centre=data_centres[number % len(data_centres)],
                    crashing_bodies=self.crashing_bodies,
                    crashing_parts=self.crashing_parts,
                )
            )

    def open_door(self, door: StoreDoor) -> str:
        """Listen on another address of the store and return its IP:port."""
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        server = httpserver.HTTPServer(self.store.make_application(door))
        server.add_sockets(sockets)
        self._store_listeners.append(server)
        return f"127.0.0.1:{sockets[0].getsockname()[1]}"

    def add_model_server(
        self, domain: str, data_centre: str = "a"
    ) -> SiteServer:
        """Start a host for groups in a fabric domain."""
        return self.add_server(
            SiteServer(
                store=self.store,
                service=MODEL_SERVICE,
                domain=domain,
                data_centre=data_centre,
                crashing_bodies=self.crashing_bodies,
                crashing_parts=self.crashing_parts,
            )
        )

    def add_server(self, server: SiteServer) -> SiteServer:
        """Start a server."""
        server.start()
        self.servers.append(server)
        return server

    def write_again(self) -> None:
        """Write the entries that may be missing after a restore from a backup.

        The operator writes its configuration and its evacuations, and each
        server its entry.
        Entries of servers that no longer exist are removed, as if they had
        expired.
        """
        self.store.write_configuration(self.store.configuration)
        for name, is_evacuated in self.store.evacuations.items():
            self.store.write_evacuation(name, is_evacuated=is_evacuated)
        living = {server.server for server in self.servers}
        topic = self.store.topic("keyed.servers")
        for record in topic.list_newest():
            if record.key not in living:
                # No server renews this entry, so it expires.
                topic.append(record.key, b"")
        for server in self.servers:
            server.register()

    def list_crashes(self, body: bytes) -> list[Crash]:
        """Return the server crashes caused by requests with a body."""
        return [
            crash
            for server in self.servers
            for crash in server.crashes
            if crash.body == body
        ]

    def list_heads(self, model: str) -> list[SiteServer]:
        """Return the heads of the open groups of a model."""
        return [
            server
            for server in self.servers
            if server.group is not None
            and server.group["state"] == "open"
            and str(server.group["name"]).endswith(f".{model}")
        ]

    async def stop(self) -> None:
        """Stop all servers and close all addresses of the store."""
        for server in self.servers:
            await server.stop()
        for listener in self._store_listeners:
            listener.stop()
            await listener.close_all_connections()


def make_node_file(
    *,
    node: str,
    store_address: str,
    ip: str = "127.0.0.1",
    ports: Mapping[str, int] | None = None,
    data_centre: str = "a",
    data_centres: Collection[str] = (),
    evac_ms: int = 5000,
    memory_mb: float = 0.0,
    grace_s: float = 8.0,
) -> dict[str, Any]:
    """Return the settings of a node as the platform writes them.

    Args:
      node: name of the node.
      store_address: IP:port of the store.
      ip: loopback IP address of the node.
      ports: ports by name; a missing one is 0, which selects a free port.
      data_centre: data centre of the node.
      data_centres: other data centres of the installation.
      evac_ms: time allowed for an evacuation.
      memory_mb: memory in megabytes that the node may use, 0 for no limit.
      grace_s: time from SIGTERM to SIGKILL, in seconds.
    """
    ports_by_name = ports or {}

    def make_address(name: str) -> str:
        return f"{ip}:{ports_by_name.get(name, 0)}"

    return {
        "node_name": node,
        "role": "node",
        "ip": ip,
        "zone": data_centre,
        "region": "r",
        "internal_ports": [
            ports_by_name.get("peers", 0),
            ports_by_name.get("peers", 0),
        ],
        "zones": dict.fromkeys((data_centre, *data_centres), "r"),
        "listen": {
            "front": make_address("callers"),
            "ready": make_address("ready"),
            "directory": make_address("directory"),
        },
        "bounds": {
            "retry_budget_ratio": 0.2,
            "retry_slack": 100,
            "budget_window_s": 10,
            "grace_s": grace_s,
            "ttl_max_s": 5,
            "stall_ms": 6000,
            "evac_ms": evac_ms,
        },
        "limits": {"memory_mb": memory_mb},
        "provider": {"address": store_address},
    }
