"""Table of all settings, each of which is a flag and an environment variable."""

import dataclasses
import enum

VARIABLE_PREFIX = "OLEANDERDEAL_"


class Command(enum.StrEnum):
    """Commands of the program: long-running processes and operators' commands."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    PUBLISH = "publish"
    CHECK = "check"
    SHOW = "show"
    AUDIT = "audit"
    REPORT = "report"


class Kind(enum.StrEnum):
    """Format of a setting's text; a member's value describes the format in help texts."""

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
    """Kind of backend server that a sidecar serves."""

    ENGINE = "engine"
    SERVICE = "service"


class LogLevel(enum.StrEnum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


Default = int | str | bool | None


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """A setting, given as the flag `--name` or the variable `OLEANDERDEAL_NAME`."""

    name: str
    kind: Kind
    unit: str
    default: Default
    """None if the setting is required."""
    low: int
    high: int
    """With `low`, the inclusive bounds of a number or of a text's length in characters."""
    commands: tuple[Command, ...]
    help: str
    choices: tuple[enum.StrEnum, ...] = ()

    @property
    def flag(self) -> str:
        """The flag, as `--name`."""
        return f"--{self.name}"

    @property
    def variable(self) -> str:
        """The name of the environment variable."""
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
    # Name and address of the process.
    Setting(
        "name", Kind.NAME, "", None, 1, 64, _LONG_RUNNING,
        "Name of this process, in log lines and towards other processes.",
    ),
    Setting(
        "address", Kind.ADDRESS, "IP:port", None, 0, _MAX_PORT, _LONG_RUNNING,
        "Address to listen on; port 0 takes a free port.",
    ),
    Setting(
        "failure_domain", Kind.NAME, "", None, 1, 64, _LONG_RUNNING,
        "Failure domain of this host: the hosts that fail together with it.",
    ),
    # Services of the platform.
    Setting(
        "log_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _LOG_READERS,
        "URL of the platform's log service.",
    ),
    Setting(
        "log_timeout_ms", Kind.INTEGER, "ms", 2000, 10, _MINUTE_MS, _LOG_READERS,
        "Deadline of one call to the log service.",
    ),
    Setting(
        "hosts_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _ENTRY_ONLY,
        "URL of the platform's list of hosts.",
    ),
    Setting(
        "configuration_poll_ms", Kind.INTEGER, "ms", 500, 10, _MINUTE_MS, _LONG_RUNNING,
        "Time that one read of the configuration stream waits for a new record.",
    ),
    # Logs and metrics.
    Setting(
        "log_level", Kind.CHOICE, "", LogLevel.INFO.value, 0, 0, _ALL_COMMANDS,
        "Lowest severity of the log lines that are written to standard error.", tuple(LogLevel),
    ),
    Setting(
        "log_json", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _ALL_COMMANDS,
        "Write log lines as JSON.",
    ),
    Setting(
        "statsd_host", Kind.IP, "", "", 0, 64, _LONG_RUNNING,
        "IP address of the statsd server; if empty, metrics are kept in memory only.",
    ),
    Setting(
        "statsd_port", Kind.INTEGER, "port", 8125, 1, _MAX_PORT, _LONG_RUNNING,
        "UDP port of the statsd server.",
    ),
    # Access tokens.
    Setting(
        "process_token", Kind.TEXT, "secret", None, 1, _MAX_TEXT_LENGTH, _LONG_RUNNING,
        "Secret shared by entries and sidecars; better set by variable than by flag.",
    ),
    Setting(
        "customer_tokens", Kind.TOKEN_LIST, "secret", "", 0, _MAX_LIST_LENGTH, _ENTRY_ONLY,
        "Access tokens as customer=token,...; the name operator stands for the operators."
        " A customer that is not listed is denied access.",
    ),
    # A sidecar and its backend server.
    Setting(
        "backend", Kind.NAME, "", None, 1, 64, _SIDECAR_ONLY,
        "Group of backend servers that this one belongs to, as contracts name it.",
    ),
    Setting(
        "backend_kind", Kind.CHOICE, "", None, 0, 0, _SIDECAR_ONLY,
        "Kind of the backend server.", tuple(BackendKind),
    ),
    Setting(
        "backend_url", Kind.URL, "", None, 1, _MAX_URL_LENGTH, _SIDECAR_ONLY,
        "URL of the backend server.",
    ),
    Setting(
        "slots", Kind.INTEGER, "requests", 4, 1, 1024, _SIDECAR_ONLY,
        "Maximum number of requests that run on the backend server at a time.",
    ),
    Setting(
        "queue_length", Kind.INTEGER, "requests", 256, 1, 100_000, _SIDECAR_ONLY,
        "Maximum number of waiting requests; further ones are refused as not run.",
    ),
    Setting(
        "model", Kind.NAME, "", "", 0, 64, _SIDECAR_ONLY,
        "Model that the engine runs; required for an engine.",
    ),
    Setting(
        "checks_fencing", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _SIDECAR_ONLY,
        "Whether the engine refuses an order with an outdated fencing number.",
    ),
    Setting(
        "load_timeout_ms", Kind.INTEGER, "ms", 10_000, 10, _HOUR_MS, _SIDECAR_ONLY,
        "Deadline of one order to load weights.",
    ),
    Setting(
        "load_spread_ms", Kind.INTEGER, "ms", 0, 0, _HOUR_MS, _SIDECAR_ONLY,
        "Time over which the sidecars' loads of a new version are spread.",
    ),
    Setting(
        "kept_answers", Kind.INTEGER, "answers", 10_000, 1, 1_000_000, _SIDECAR_ONLY,
        "Maximum number of answers kept for repeated requests; the oldest are evicted first.",
    ),
    Setting(
        "kept_answer_bytes", Kind.INTEGER, "bytes", 64 * _MEBIBYTE, _MEBIBYTE, 1024 * _MEBIBYTE,
        _SIDECAR_ONLY,
        "Maximum total size of the kept answers; the oldest are evicted first.",
    ),
    # Connections between processes.
    Setting(
        "heartbeat_ms", Kind.INTEGER, "ms", 500, 10, _MINUTE_MS, _LONG_RUNNING,
        "Interval of heartbeats on an idle connection between processes.",
    ),
    Setting(
        "peer_limit", Kind.INTEGER, "sidecars", 20, 1, 1000, _ENTRY_ONLY,
        "Maximum number of sidecars that one entry connects to.",
    ),
    # An entry.
    Setting(
        "http_threads", Kind.INTEGER, "threads", 64, 1, 1024, _ENTRY_ONLY,
        "Maximum number of requests that an entry answers at a time; further ones are queued.",
    ),
    Setting(
        "sample_tasks", Kind.INTEGER, "samples", 64, 1, 4096, _ENTRY_ONLY,
        "Maximum number of samples of training steps that an entry generates at a time.",
    ),
    Setting(
        "claim_shards", Kind.INTEGER, "streams", 4, 1, 64, _ENTRY_ONLY,
        "Number of streams that claims are spread over; must be the same at every entry.",
    ),
    Setting(
        "claim_window", Kind.INTEGER, "claims", 100_000, 100, 10_000_000, _ENTRY_ONLY,
        "Number of claims of one stream kept in memory; a key older than these is refused.",
    ),
    Setting(
        "snapshot_interval_ms", Kind.INTEGER, "ms", 600_000, 100, _HOUR_MS, _ENTRY_ONLY,
        "Interval of snapshots of the configuration in the log; must be well below the time"
        " that the log keeps records.",
    ),
    Setting(
        "drain_ms", Kind.INTEGER, "ms", 600_000, 0, _HOUR_MS, _LONG_RUNNING,
        "Time that a stopping process has to finish the requests in progress.",
    ),
    # Operators' commands.
    Setting(
        "file", Kind.TEXT, "path", "-", 1, _MAX_TEXT_LENGTH, _FILE_READERS,
        "File of the contract, in YAML or JSON; - is standard input.",
    ),
    Setting(
        "by", Kind.TEXT, "", None, 1, 200, (Command.PUBLISH,),
        "Name of the publisher, for the audit trail.",
    ),
    Setting(
        "customer", Kind.NAME, "", "", 0, 64, (Command.SHOW, Command.AUDIT, Command.REPORT),
        "Limit the output to this customer.",
    ),
    Setting(
        "entries", Kind.URL_LIST, "", "", 0, _MAX_LIST_LENGTH, _ENTRY_CLIENTS,
        "URLs of the entries to ask: of each entry itself, not of a load balancer.",
    ),
    Setting(
        "operator_token", Kind.TEXT, "secret", "", 0, _MAX_TEXT_LENGTH, _ENTRY_CLIENTS,
        "Access token of the operators, sent to the entries.",
    ),
    Setting(
        "wait_ms", Kind.INTEGER, "ms", 8000, 1, _HOUR_MS, _OPERATOR_COMMANDS,
        "Time limit of the whole command.",
    ),
    Setting(
        "json", Kind.BOOLEAN, "", False, *_BOOLEAN_BOUNDS, _OPERATOR_COMMANDS,
        "Print JSON lines instead of tables.",
    ),
)  # fmt: skip


def list_settings(command: Command) -> tuple[Setting, ...]:
    """Return the settings that a command has."""
    return tuple(setting for setting in TABLE if command in setting.commands)
