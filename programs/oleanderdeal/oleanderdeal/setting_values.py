"""Parsers that turn the text of a setting into its value, or into an error message."""

import collections.abc
import dataclasses
import ipaddress
import urllib.parse

import expression

from oleander_contracts import names
from oleanderdeal import setting_table

_TRUE_WORDS = ("true", "1")
_FALSE_WORDS = ("false", "0")
_URL_SCHEME = "http"
_LIST_KINDS = (setting_table.Kind.URL_LIST, setting_table.Kind.TOKEN_LIST)


@dataclasses.dataclass(slots=True, frozen=True)
class CustomerToken:
    """Access token of one customer, or of operators under the name `operator`."""

    customer: str
    token: str = dataclasses.field(repr=False)


Value = int | str | bool | tuple[str, ...] | tuple[CustomerToken, ...]
ValueResult = expression.Result[Value, str]


def read_value(setting: setting_table.Setting, text: str) -> ValueResult:
    """Return the value of a setting's text, or an error message to put after its name."""
    if text or setting.default != "" or setting.kind in _LIST_KINDS:
        return _READERS[setting.kind](setting, text)
    return expression.Ok("")


def _read_integer(setting: setting_table.Setting, text: str) -> ValueResult:
    if not (text.isascii() and text.removeprefix("-").isdigit() and len(text) <= 18):
        return expression.Error(f"is no whole number: {text[:40]!r}")
    number = int(text)
    if setting.low <= number <= setting.high:
        return expression.Ok(number)
    return expression.Error(f"{number} is outside {setting.low} to {setting.high}")


def _read_text(setting: setting_table.Setting, text: str) -> ValueResult:
    if not setting.low <= len(text) <= setting.high:
        return expression.Error(f"has {len(text)} characters, not {setting.low} to {setting.high}")
    if not text.isprintable():
        return expression.Error("contains unprintable characters")
    return expression.Ok(text)


def _read_boolean(setting: setting_table.Setting, text: str) -> ValueResult:
    word = text.lower()
    if word in _TRUE_WORDS:
        return expression.Ok(True)
    if word in _FALSE_WORDS:
        return expression.Ok(False)
    return expression.Error(f"is neither true nor false: {text[:40]!r}")


def _read_choice(setting: setting_table.Setting, text: str) -> ValueResult:
    for choice in setting.choices:
        if choice.value == text:
            return expression.Ok(choice)
    return expression.Error(f"{text[:40]!r} is none of {', '.join(setting.choices)}")


def _read_name(setting: setting_table.Setting, text: str) -> ValueResult:
    if names.is_name(text):
        return expression.Ok(text)
    return expression.Error(f"{text[:40]!r} is no name: {names.RULE}")


def _read_ip(setting: setting_table.Setting, text: str) -> ValueResult:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return expression.Error(f"{text[:60]!r} is no IP number")
    return expression.Ok(text)


def _read_address(setting: setting_table.Setting, text: str) -> ValueResult:
    host, colon, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return expression.Error(f"{text[:60]!r} is no IP:port")
    if not (colon and _is_port(setting, port)):
        return expression.Error(f"{port[:20]!r} is no port from {setting.low} to {setting.high}")
    return expression.Ok(text)


def _is_port(setting: setting_table.Setting, text: str) -> bool:
    is_short = text.isascii() and text.isdigit() and len(text) <= len(str(setting.high))
    return is_short and setting.low <= int(text) <= setting.high


def _read_url(setting: setting_table.Setting, text: str) -> ValueResult:
    problem = _find_url_problem(setting, text)
    return expression.Error(problem) if problem else expression.Ok(text.rstrip("/"))


def _find_url_problem(setting: setting_table.Setting, text: str) -> str:
    shown = repr(text[:60])
    if len(text) > setting.high or not text.isprintable() or " " in text:
        return f"{shown} is no URL"
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return f"{shown} is no URL"
    if parts.scheme != _URL_SCHEME or not parts.hostname or port == 0:
        return f"{shown} is no URL of the form http://host:port"
    if parts.path.strip("/") or parts.query or parts.fragment or parts.username is not None:
        return f"{shown} has more than host and port"
    return ""


def _read_url_list(setting: setting_table.Setting, text: str) -> ValueResult:
    urls = []
    for part in _split_list(text):
        problem = _find_url_problem(setting, part)
        if problem:
            return expression.Error(problem)
        urls.append(part.rstrip("/"))
    return expression.Ok(tuple(urls))


def _read_token_list(setting: setting_table.Setting, text: str) -> ValueResult:
    tokens: list[CustomerToken] = []
    for number, part in enumerate(_split_list(text), start=1):
        customer, _, token = part.partition("=")
        # Messages name a pair by its number, never by its token: they end up in logs.
        if not names.is_name(customer):
            return expression.Error(f"pair {number} has no name before =")
        if not token or " " in token or not token.isascii() or not token.isprintable():
            return expression.Error(f"pair {number} has no token of visible ASCII after =")
        if any(token == known.token for known in tokens):
            return expression.Error(f"pair {number} repeats another pair's token")
        tokens.append(CustomerToken(customer, token))
    return expression.Ok(tuple(tokens))


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


_Reader = collections.abc.Callable[[setting_table.Setting, str], ValueResult]
_READERS: dict[setting_table.Kind, _Reader] = {
    setting_table.Kind.INTEGER: _read_integer,
    setting_table.Kind.TEXT: _read_text,
    setting_table.Kind.BOOLEAN: _read_boolean,
    setting_table.Kind.CHOICE: _read_choice,
    setting_table.Kind.NAME: _read_name,
    setting_table.Kind.IP: _read_ip,
    setting_table.Kind.ADDRESS: _read_address,
    setting_table.Kind.URL: _read_url,
    setting_table.Kind.URL_LIST: _read_url_list,
    setting_table.Kind.TOKEN_LIST: _read_token_list,
}
