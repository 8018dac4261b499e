"""Steps for settings files."""

from __future__ import annotations

import configparser
import pathlib
import re
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from lycheering.settings import load
from lycheering.settings import model
from tools import settings_reference

COMMON_SECTIONS = {
    "instance": {"name": "b", "failure_domain": "d"},
    "control": {"members": "b@10.0.0.1:1"},
}
DIRECT_OPTIONS = {
    "caller_address": "10.0.0.1:80",
    "ready_address": "10.0.0.1:81",
    "operator_address": "10.0.0.1:82",
    "list_address": "10.0.0.2:80",
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


@given("a valid settings file for each role")
def step_each_role(context):
    context.sections_by_role = {
        role: COMMON_SECTIONS | {role: options, "direct": DIRECT_OPTIONS}
        for role, options in ROLE_SECTIONS.items()
    }


def load_sections(context, sections):
    """Returns the settings of a file with these sections."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    with settings_path(context).open("w") as file:
        parser.write(file)
    return load.load(settings_path(context))


@when("each optional option is set to nothing, and the settings are loaded")
def step_all_empty(context):
    context.loaded = []
    for role, sections in context.sections_by_role.items():
        filled = {name: dict(options) for name, options in sections.items()}
        for name, section_type in model.SECTION_TYPE_BY_NAME.items():
            if name in ROLE_SECTIONS and name != role:
                continue
            options = filled.setdefault(name, {})
            for option, field in section_type.model_fields.items():
                if not field.is_required():
                    options.setdefault(option, "")
        context.loaded.append(
            (load_sections(context, filled), load_sections(context, sections))
        )


@then("the settings are those of a file without these options")
def step_same_settings(context):
    assert len(context.loaded) == len(ROLE_SECTIONS)
    for filled, plain in context.loaded:
        assert filled == plain, filled


PLAIN_SECTIONS = ("bootstrap", "fault_tolerance")
VALUE_BY_NAME = {
    "ip": "127.0.0.1",
    "failure_domain": "zone-a",
    "region": "region-a",
    "internal_ports.0": "7340",
    "internal_ports.1": "7355",
    "seeds": "127.0.0.1:8783",
    "data_dir": "/var/lib/none",
    "listen.control": "127.0.0.1:8783",
    "listen.front": "127.0.0.1:8782",
    "listen.ready": "127.0.0.1:8789",
    "cloud.address": "127.0.0.1:8784",
    "bounds.version_ms": "10000",
    "bounds.lease_ms": "3000",
    "bounds.grace_s": "8",
    "bounds.revoke_ms": "5000",
}


@when("the template {path} is filled in by a reader of plain names")
def step_fill_in(context, path):
    text = pathlib.Path(path).read_text()
    for name in PLAIN_SECTIONS:
        end = re.escape("{{/" + name + "}}")
        text = re.sub(re.escape("{{#" + name + "}}") + "(.*?)" + end, "", text)
        otherwise = re.escape("{{^" + name + "}}") + "(.*?)" + end
        text = re.sub(otherwise, r"\1", text)
    names = re.findall(r"\{\{(.*?)\}\}", text)
    assert all(re.fullmatch(r"[a-z_0-9.]+", name) for name in names), names
    text = re.sub(
        r"\{\{(.*?)\}\}",
        lambda found: VALUE_BY_NAME.get(found[1], ""),
        text,
    )
    settings_path(context).write_text(text)


@then("its settings are loaded without findings")
def step_no_findings(context):
    load.load(settings_path(context))
