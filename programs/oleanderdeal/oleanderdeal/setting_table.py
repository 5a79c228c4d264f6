"""The table of settings: every flag and environment variable that the program knows."""

import dataclasses
import enum

VARIABLE_PREFIX = "OLEANDERDEAL_"


class Command(enum.StrEnum):
    """What one run of the program does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    PUBLISH = "publish"
    CHECK = "check"
    SHOW = "show"
    AUDIT = "audit"
    REPORT = "report"


class Kind(enum.StrEnum):
    """How the text of a setting is read."""

    INTEGER = "whole number"
    TEXT = "text"
    BOOLEAN = "true or false"
    CHOICE = "one of a few words"
    NAME = "name"
    IP = "IP number"
    ADDRESS = "IP:port"
    URL = "http://host:port"
    URL_LIST = "http://host:port,..."
    TOKEN_LIST = "customer=token,..."


class BackendKind(enum.StrEnum):
    """What stands beside a sidecar."""

    ENGINE = "engine"
    SERVICE = "service"


class LogLevel(enum.StrEnum):
    """The least severe line that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


Default = int | str | bool | None


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """One setting: its flag is `--name`, its variable `OLEANDERDEAL_NAME`."""

    name: str
    kind: Kind
    unit: str
    default: Default
    """Nothing means that the setting must be given."""
    low: int
    high: int
    """Bounds of a number; of a text, the bounds of its length."""
    roles: tuple[Command, ...]
    help: str
    choices: tuple[enum.StrEnum, ...] = ()

    @property
    def flag(self) -> str:
        """The flag as it is written on the command line."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """The environment variable."""
        return VARIABLE_PREFIX + self.name.upper()


_ENTRY_ONLY = (Command.ENTRY,)
_SIDECAR_ONLY = (Command.SIDECAR,)
_LONG_RUNNING = (Command.ENTRY, Command.SIDECAR)
_LOG_READERS = (*_LONG_RUNNING, Command.PUBLISH, Command.SHOW, Command.AUDIT, Command.REPORT)
_OPERATOR_COMMANDS = (Command.PUBLISH, Command.CHECK, Command.SHOW, Command.AUDIT, Command.REPORT)
_ENTRY_CLIENTS = (Command.PUBLISH, Command.REPORT)
_FILE_READERS = (Command.PUBLISH, Command.CHECK)
_ALL_COMMANDS = tuple(Command)

_MAX_TEXT_LENGTH = 4096
_MAX_URL_LENGTH = 1024
_MAX_LIST_LENGTH = 65536
_MAX_PORT = 65535
_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_MEBIBYTE = 1024 * 1024

_BOOLEAN_BOUNDS = (0, 1)

TABLE: tuple[Setting, ...] = (
    # Who this process is and where it listens.
    Setting(
        "name", Kind.NAME, "", None, 1, 64, _LONG_RUNNING,
        "Name of this process, in logs and between processes.",
    ),
    Setting(
        "address", Kind.ADDRESS, "IP:port", None, 0, _MAX_PORT, _LONG_RUNNING,
        "Where to listen; port 0 takes a free one.",
    ),
    Setting(
        "failure_domain", Kind.NAME, "", None, 1, 64, _LONG_RUNNING,
        "The part of the deployment that fails together with this host.",
    ),
    # The platform.
    Setting(
        "log_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _LOG_READERS,
        "The platform's log service.",
    ),
    Setting(
        "log_timeout_ms", Kind.INTEGER, "ms", 2000, 10, _MINUTE_MS, _LOG_READERS,
        "Deadline of one call to the log service.",
    ),
    Setting(
        "hosts_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _ENTRY_ONLY,
        "The platform's list of hosts.",
    ),
    Setting(
        "configuration_poll_ms", Kind.INTEGER, "ms", 500, 10, _MINUTE_MS, _LONG_RUNNING,
        "How long one read of the configuration stream waits for a new record.",
    ),
    # Logs and metrics.
    Setting(
        "log_level", Kind.CHOICE, "", LogLevel.INFO.value, 0, 0, _ALL_COMMANDS,
        "The least severe line that is logged, on standard error.", tuple(LogLevel),
    ),
    Setting(
        "log_json", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _ALL_COMMANDS,
        "Log lines as JSON.",
    ),
    Setting(
        "statsd_host", Kind.IP, "", "", 0, 64, _LONG_RUNNING,
        "IP number of the statsd server; empty keeps metrics in memory only.",
    ),
    Setting(
        "statsd_port", Kind.INTEGER, "port", 8125, 1, _MAX_PORT, _LONG_RUNNING,
        "UDP port of the statsd server.",
    ),
    # Access.
    Setting(
        "process_token", Kind.TEXT, "secret", None, 1, _MAX_TEXT_LENGTH, _LONG_RUNNING,
        "Shared by the system's own processes; better set by variable than by flag.",
    ),
    Setting(
        "customer_tokens", Kind.TOKEN_LIST, "secret", "", 0, _MAX_LIST_LENGTH, _ENTRY_ONLY,
        "Tokens as customer=token,...; the name operator stands for the operators."
        " Who is not listed is not let in.",
    ),
    # A sidecar and its backend server.
    Setting(
        "backend", Kind.NAME, "", None, 1, 64, _SIDECAR_ONLY,
        "The group of backend servers that this one belongs to, as contracts name it.",
    ),
    Setting(
        "backend_kind", Kind.CHOICE, "", None, 0, 0, _SIDECAR_ONLY,
        "What the backend server is.", tuple(BackendKind),
    ),
    Setting(
        "backend_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _SIDECAR_ONLY,
        "Where the backend server answers.",
    ),
    Setting(
        "slots", Kind.INTEGER, "requests", 4, 1, 1024, _SIDECAR_ONLY,
        "Requests that run at the backend server at a time.",
    ),
    Setting(
        "queue_length", Kind.INTEGER, "requests", 256, 1, 100_000, _SIDECAR_ONLY,
        "Requests that wait at most; one more is refused as not run.",
    ),
    Setting(
        "model", Kind.NAME, "", "", 0, 64, _SIDECAR_ONLY,
        "The model that the engine runs; an engine needs it.",
    ),
    Setting(
        "checks_fencing", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _SIDECAR_ONLY,
        "Whether the engine refuses an order with an old fencing number.",
    ),
    Setting(
        "load_timeout_ms", Kind.INTEGER, "ms", 10_000, 10, _HOUR_MS, _SIDECAR_ONLY,
        "Deadline of one order to load weights.",
    ),
    Setting(
        "load_spread_ms", Kind.INTEGER, "ms", 0, 0, _HOUR_MS, _SIDECAR_ONLY,
        "Loads of a new version are spread over so long across the sidecars.",
    ),
    Setting(
        "kept_answers", Kind.INTEGER, "answers", 10_000, 1, 1_000_000, _SIDECAR_ONLY,
        "Answers kept for a request that is sent again; the oldest make room.",
    ),
    Setting(
        "kept_answer_bytes", Kind.INTEGER, "bytes", 64 * _MEBIBYTE, _MEBIBYTE, 1024 * _MEBIBYTE,
        _SIDECAR_ONLY,
        "Bytes of the answers kept; the oldest make room.",
    ),
    # Between processes.
    Setting(
        "heartbeat_ms", Kind.INTEGER, "ms", 500, 10, _MINUTE_MS, _LONG_RUNNING,
        "How often an idle connection between processes carries a heartbeat.",
    ),
    Setting(
        "peer_limit", Kind.INTEGER, "sidecars", 20, 1, 1000, _ENTRY_ONLY,
        "Sidecars that one entry connects to at most.",
    ),
    # An entry.
    Setting(
        "http_threads", Kind.INTEGER, "threads", 64, 1, 1024, _ENTRY_ONLY,
        "Requests that an entry answers at a time; further ones wait in line.",
    ),
    Setting(
        "sample_tasks", Kind.INTEGER, "samples", 64, 1, 4096, _ENTRY_ONLY,
        "Samples of training steps that an entry has in the making at a time.",
    ),
    Setting(
        "claim_shards", Kind.INTEGER, "streams", 4, 1, 64, _ENTRY_ONLY,
        "Streams that claims are spread over; must be the same at every entry.",
    ),
    Setting(
        "claim_window", Kind.INTEGER, "claims", 100_000, 100, 10_000_000, _ENTRY_ONLY,
        "Claims of one stream kept in memory; a key older than these is refused.",
    ),
    Setting(
        "snapshot_interval_ms", Kind.INTEGER, "ms", 600_000, 100, _HOUR_MS, _ENTRY_ONLY,
        "A snapshot of what is in force is written to the log this often; well below the time"
        " that the log keeps records.",
    ),
    Setting(
        "drain_ms", Kind.INTEGER, "ms", 600_000, 0, _HOUR_MS, _LONG_RUNNING,
        "How long a stopping process may take to finish what runs.",
    ),
    # Operators' commands.
    Setting(
        "file", Kind.TEXT, "path", "-", 1, _MAX_TEXT_LENGTH, _FILE_READERS,
        "The contract to read, in YAML or JSON; - is standard input.",
    ),
    Setting(
        "by", Kind.TEXT, "", None, 1, 200, (Command.PUBLISH,),
        "Who publishes, for the audit trail.",
    ),
    Setting(
        "customer", Kind.NAME, "", "", 0, 64, (Command.SHOW, Command.AUDIT, Command.REPORT),
        "Show this customer only.",
    ),
    Setting(
        "entries", Kind.URL_LIST, "", "", 0, _MAX_LIST_LENGTH, _ENTRY_CLIENTS,
        "The entries to ask, each one itself rather than the balancer.",
    ),
    Setting(
        "operator_token", Kind.TEXT, "secret", "", 0, _MAX_TEXT_LENGTH, _ENTRY_CLIENTS,
        "The operators' token, sent to the entries.",
    ),
    Setting(
        "wait_ms", Kind.INTEGER, "ms", 8000, 1, _HOUR_MS, _OPERATOR_COMMANDS,
        "How long the whole command may take.",
    ),
    Setting(
        "json", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _OPERATOR_COMMANDS,
        "Print JSON lines instead of tables.",
    ),
)  # fmt: skip


def list_settings(command: Command) -> tuple[Setting, ...]:
    """Return the settings that a command has."""
    return tuple(setting for setting in TABLE if command in setting.roles)
