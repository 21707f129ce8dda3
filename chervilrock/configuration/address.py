"""Addresses of the form IP:port; host names are not accepted."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """The network address of a process.

    Attributes:
      ip: IP address; IPv6 without brackets
      port: TCP port; 0 lets the system choose one
    """

    ip: str
    port: int

    def render(self) -> str:
        """Return the address as IP:port, with IPv6 in brackets."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Parse an IP:port address, or return None when it is malformed.

    Args:
      text: an address such as 127.0.0.1:8080 or [::1]:8080
    """
    host, separator, port = text.rpartition(":")
    if not separator or not is_port(port):
        return None
    if host.startswith("[") and host.endswith("]"):
        return parse_ip(host[1:-1], 6, int(port))
    return parse_ip(host, 4, int(port))


def is_port(text: str) -> bool:
    """Return whether a string is a valid TCP port number."""
    if not text.isascii() or not text.isdigit():
        return False
    return len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def parse_ip(text: str, version: int, port: int) -> Address | None:
    """Return the address if the text is an IP address of that version."""
    try:
        ip = ipaddress.ip_address(text)
    except ValueError:
        return None
    if ip.version != version or "%" in text:
        return None
    return Address(str(ip), port)


def is_unspecified(address: Address) -> bool:
    """Return whether an address is a wildcard such as 0.0.0.0 or ::."""
    return ipaddress.ip_address(address.ip).is_unspecified
