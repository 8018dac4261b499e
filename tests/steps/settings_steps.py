"""Steps for settings files."""

from __future__ import annotations

import configparser
import pathlib
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.settings import load
from tools import settings_reference

COMMON_SECTIONS = {
    "instance": {"name": "b", "failure_domain": "d"},
    "control": {"members": "b@10.0.0.1:1"},
}
ROLE_SECTIONS = {
    "entry": {"http_port": "80"},
    "agent": {"target": "t", "url": "http://10.0.0.1:80", "model": "m"},
    "log_store": {"data_folder": "/var/lib/none"},
}


def settings_path(context):
    if not hasattr(context, "settings_path"):
        folder = context.stack.enter_context(tempfile.TemporaryDirectory())
        context.settings_path = pathlib.Path(folder) / "role.ini"
    return context.settings_path


@given("the settings file")
def step_file(context):
    settings_path(context).write_text(context.text)


@given('a settings file that reads "{text}"')
def step_file_text(context, text):
    settings_path(context).write_text(text.replace("\\n", "\n"))


@given('a valid settings file for "{section}"')
def step_valid_file(context, section):
    role = section if section in ROLE_SECTIONS else "log_store"
    sections = COMMON_SECTIONS | {role: ROLE_SECTIONS[role]}
    context.settings_sections = {
        name: dict(options) for name, options in sections.items()
    }


@when('the settings option "{option}" of "{section}" is set to "{value}"')
def step_set(context, option, section, value):
    context.settings_sections.setdefault(section, {})[option] = value
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(context.settings_sections)
    with settings_path(context).open("w") as file:
        parser.write(file)


@when('the settings option "{option}" of "{section}" is set to ""')
def step_set_empty(context, option, section):
    step_set(context, option, section, "")


@when("the settings are loaded")
def step_load(context):
    context.settings_findings = []
    try:
        load.load(settings_path(context))
    except load.SettingsError as error:
        context.settings_findings = error.findings


@when("a settings file that does not exist is loaded")
def step_load_missing(context):
    step_load(context)


@then("the settings findings are")
def step_findings(context):
    findings = context.settings_findings
    assert len(findings) == len(context.table.rows), findings
    for finding, row in zip(findings, context.table, strict=True):
        assert str(finding.line) == row["line"], finding
        assert finding.section == row["section"], finding
        assert finding.option == row["option"], finding
        assert row["problem"] in finding.problem, finding


@then('the settings have one finding, of "{option}", about "{problem}"')
def step_one_finding(context, option, problem):
    [finding] = context.settings_findings
    assert finding.option == option, finding
    assert problem in finding.problem, finding
    lines = []
    if settings_path(context).exists():
        lines = settings_path(context).read_text().splitlines()
    if option and any(line.startswith(option) for line in lines):
        assert lines[finding.line - 1].startswith(option), finding


@then('the settings have one finding, of "", about "{problem}"')
def step_one_file_finding(context, problem):
    step_one_finding(context, "", problem)


@then("loading any text returns settings or raises findings")
def step_any_text(context):
    path = settings_path(context)
    known_lines = strategies.sampled_from(
        ["[instance]", "[control]", "[agent]", "[DEFAULT]", "name = b", "x"]
    )
    any_text = strategies.text(max_size=20)
    lines = strategies.lists(
        strategies.one_of(known_lines, any_text), max_size=12
    )

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=300
    )
    @hypothesis.given(lines)
    def check(text_lines):
        path.write_text("\n".join(text_lines), encoding="utf-8")
        try:
            load.load(path)
        except load.SettingsError as error:
            assert error.findings

    check()


@then("the settings reference page equals the output of its tool")
def step_settings_page(context):
    page = settings_reference.SETTINGS_PAGE.read_text()
    assert page == settings_reference.settings_page()


@then("the fleet options page equals the output of its tool")
def step_options_page(context):
    page = settings_reference.OPTIONS_PAGE.read_text()
    assert page == settings_reference.options_page()
