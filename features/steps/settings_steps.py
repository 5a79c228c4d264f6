"""Steps for reading settings from flags and environment variables."""

import dataclasses

import behave

from oleanderdeal import help_texts, setting_table, settings

_SOUND_SIDECAR = {
    "OLEANDERDEAL_NAME": "desk-1",
    "OLEANDERDEAL_ADDRESS": "127.0.0.1:0",
    "OLEANDERDEAL_FAILURE_DOMAIN": "north",
    "OLEANDERDEAL_LOG_URL": "http://127.0.0.1:1",
    "OLEANDERDEAL_PROCESS_TOKEN": "hush",
    "OLEANDERDEAL_BACKEND": "desk",
    "OLEANDERDEAL_BACKEND_KIND": "service",
    "OLEANDERDEAL_BACKEND_URL": "http://127.0.0.1:2",
}
_SOUND_ENTRY = {
    **_SOUND_SIDECAR,
    "OLEANDERDEAL_HOSTS_URL": "http://127.0.0.1:3",
}


@behave.given("settings of a sidecar that are all sound")
def give_sound_settings(context):
    context.variables = dict(_SOUND_SIDECAR)


@behave.when("the setting variable {variable} and the setting flag {flag} are given")
def read_sidecar(context, variable, flag):
    if variable != "none":
        name, _, text = variable.partition("=")
        context.variables[name] = text
    argv = [] if flag == "none" else flag.split()
    context.result = settings.read_settings("sidecar", argv, context.variables)


@behave.when("settings of {command} are read from nothing")
def read_nothing(context, command):
    context.result = settings.read_settings(command, [], {})


@behave.when("settings of entry are read with the customer tokens {text}")
def read_tokens(context, text):
    argv = [f"--customer_tokens={text}"]
    context.result = settings.read_settings("entry", argv, _SOUND_ENTRY)


@behave.then("the value of setting {name} is {value}")
def check_value(context, name, value):
    assert context.result.is_ok(), str(context.result.error)
    found = str(getattr(context.result.ok, name))
    assert found == value, found


@behave.then("the setting findings are {place}: {problem}")
def check_finding(context, place, problem):
    assert context.result.is_error()
    found = [str(item) for item in context.result.error.items]
    assert found == [f"{place}: {problem}"], found


@behave.then("the places of the setting findings are {places}")
def check_setting_places(context, places):
    found = [item.place for item in context.result.error.items]
    assert found == places.split(", "), found


@behave.then("the customer tokens are {customers}")
def check_tokens(context, customers):
    if context.result.is_error():
        found = "rejected: " + context.result.error.items[0].problem
    else:
        tokens = context.result.ok.customer_tokens
        found = ", ".join(f"{item.customer} {item.token}" for item in tokens)
    assert found == customers, found


@behave.then("the printed settings do not hold {secret}")
def check_secret(context, secret):
    assert secret not in repr(context.result.ok)


@behave.then("every setting of the table is an attribute and stands in the help")
def check_table(context):
    attributes = [field.name for field in dataclasses.fields(settings.Settings)]
    assert sorted(attributes) == sorted(["command", *(item.name for item in setting_table.TABLE)])
    for setting in setting_table.TABLE:
        for command in setting.commands:
            text = help_texts.format_command_help(command)
            assert f"  {setting.flag}  (" in text
            assert f"variable: {setting.variable}\n" in text
