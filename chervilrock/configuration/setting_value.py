"""Parses the text of one setting."""

import math
import re

from chervilrock.configuration import bounds
from chervilrock.configuration.address import parse_address
from chervilrock.configuration.findings import (
    Fault,
    FindingCode,
    quote_value,
    suggest_name,
)
from chervilrock.generated.settings import NodeSettings

INTEGER = re.compile(r"[-+]?[0-9]{1,19}")
NUMBER = re.compile(r"[-+]?[0-9]{1,19}(?:\.[0-9]{0,19})?(?:e[-+]?[0-9]{1,3})?")
DEFAULTS = NodeSettings._field_defaults
ADDRESS_HINT = "write an IP number and a port, such as 10.0.0.1:8080"

SettingValue = str | int | float


def parse_setting(name: str, text: str) -> SettingValue | Fault:
    """Parse the value of a setting, or return the fault."""
    if name in bounds.RANGES:
        return parse_number(name, text)
    if name in bounds.CHOICES:
        return parse_choice(bounds.CHOICES[name], text)
    if name in bounds.ADDRESSES:
        return parse_endpoint(name, text)
    if name in bounds.ADDRESS_LISTS:
        return parse_endpoints(text)
    return parse_name(text)


def parse_number(name: str, text: str) -> int | float | Fault:
    """Parse a number and check its range."""
    whole = NodeSettings.__annotations__[name] is int
    form = INTEGER if whole else NUMBER
    if not form.fullmatch(text):
        kind = "a whole number" if whole else "a number"
        return Fault(
            FindingCode.BAD_NUMBER,
            f"{quote_value(text)} is not {kind}",
            "write a plain decimal number",
        )
    value = int(text) if whole else float(text)
    least, greatest = bounds.RANGES[name]
    if math.isfinite(value) and least <= value <= greatest:
        return value
    return Fault(
        FindingCode.OUT_OF_RANGE,
        f"{quote_value(text)} is not in the range {least} to {greatest}",
    )


def parse_choice(choices: tuple[str, ...], text: str) -> str | Fault:
    """Return the text if it is one of the choices."""
    if text in choices:
        return text
    return Fault(
        FindingCode.UNKNOWN_CHOICE,
        f"{quote_value(text)} is none of {', '.join(choices)}",
        suggest_name(text, choices),
    )


def parse_name(text: str) -> str | Fault:
    """Return the text if it is a valid name."""
    if len(text) <= bounds.NAME_LENGTH and bounds.NAME.fullmatch(text):
        return text
    return Fault(
        FindingCode.BAD_FORM,
        f"{quote_value(text)} is not a name",
        f"wanted: {bounds.NAME_FORM}, at most {bounds.NAME_LENGTH}",
    )


def parse_endpoint(name: str, text: str) -> str | Fault:
    """Return a normalized IP:port address; optional ones may be empty."""
    if not text and name in DEFAULTS:
        return text
    address = parse_address(text)
    if address is None:
        return refuse_address(text)
    if address.port == 0 and name != "listen":
        return Fault(
            FindingCode.BAD_ADDRESS,
            f"{quote_value(text)} has port 0, at which nobody can be reached",
            ADDRESS_HINT,
        )
    return address.render()


def parse_endpoints(text: str) -> str | Fault:
    """Return a comma-separated list of unique, normalized addresses.

    Spaces around the addresses are dropped.
    """
    addresses = []
    for part in filter(None, (item.strip() for item in text.split(","))):
        address = parse_address(part)
        if address is None or address.port == 0:
            return refuse_address(part)
        addresses.append(address.render())
    return ",".join(dict.fromkeys(addresses))


def refuse_address(text: str) -> Fault:
    """Return the fault for a malformed address."""
    return Fault(
        FindingCode.BAD_ADDRESS,
        f"{quote_value(text)} is not IP:port",
        ADDRESS_HINT,
    )
