"""Addresses of the form IP:port, with IP numbers only."""

import ipaddress
from typing import NamedTuple

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An address of a process.

    Attributes:
      ip: IP number, version 6 without brackets
      port: TCP port, 0 for any
    """

    ip: str
    port: int

    def render(self) -> str:
        """Return the address as IP:port, version 6 in brackets."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address | None:
    """Return the address in a text, None when it is no IP:port.

    Args:
      text: such as 127.0.0.1:8080 or [::1]:8080
    """
    host, separator, port = text.rpartition(":")
    if not separator or not is_port(port):
        return None
    if host.startswith("[") and host.endswith("]"):
        return parse_ip(host[1:-1], 6, int(port))
    return parse_ip(host, 4, int(port))


def is_port(text: str) -> bool:
    """Tell whether a text is the number of a port."""
    if not text.isascii() or not text.isdigit():
        return False
    return len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def parse_ip(text: str, version: int, port: int) -> Address | None:
    """Return an address when the text is an IP number of that version."""
    try:
        ip = ipaddress.ip_address(text)
    except ValueError:
        return None
    if ip.version != version or "%" in text:
        return None
    return Address(str(ip), port)


def is_unspecified(address: Address) -> bool:
    """Tell whether an address stands for all addresses of a host."""
    return ipaddress.ip_address(address.ip).is_unspecified
