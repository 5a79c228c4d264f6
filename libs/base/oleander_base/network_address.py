"""Checks of network addresses that other systems state."""

import ipaddress

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def is_port(text: str) -> bool:
    """Return whether a text is a port from 1 to 65535 in decimal, without leading zeros."""
    if not (text.isascii() and text.isdigit()) or len(text) > _MAX_PORT_DIGITS:
        return False
    return text[0] != "0" and int(text) <= _MAX_PORT


def is_address(text: str) -> bool:
    """Return whether a text is IP:port or [IP]:port of one host."""
    host, _, port = text.rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return is_port(port) and not (address.is_unspecified or address.is_multicast)


def is_ipv4_address(text: str) -> bool:
    """Return whether a text is IP:port of one host, with an IPv4 address."""
    return "[" not in text and text.count(":") == 1 and is_address(text)
