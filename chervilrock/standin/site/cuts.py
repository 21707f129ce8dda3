"""Cuts between single nodes and all servers of an installation."""

from collections.abc import Iterable

from chervilrock.standin.site.proxy import LinkFault, LinkProxy
from chervilrock.standin.site.servers import SiteServer


class NodeCuts:
    """Proxies before all servers that tell nodes apart by their IP address.

    Each node must connect from an IP address of its own.
    """

    def __init__(self) -> None:
        """Create cuts without any proxy."""
        self._faults: dict[str, LinkFault] = {}
        self.links: list[LinkProxy] = []

    async def start(self, servers: Iterable[SiteServer]) -> None:
        """Start a proxy before each server and register its address."""
        for server in servers:
            link = LinkProxy(target=server.address, cuts=self._faults)
            await link.start()
            server.address = link.address
            server.register()
            self.links.append(link)

    def cut(self, ips: Iterable[str], fault: LinkFault) -> None:
        """Cut the nodes with these IP addresses off from all servers."""
        self._faults.update(dict.fromkeys(ips, fault))

    def restore(self, ips: Iterable[str]) -> None:
        """Reconnect the nodes with these IP addresses to all servers."""
        for ip in ips:
            self._faults.pop(ip, None)

    def stop(self) -> None:
        """Close all connections."""
        for link in self.links:
            link.stop()
