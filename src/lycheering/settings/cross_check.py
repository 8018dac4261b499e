"""Checks of a settings file beyond the types of single options."""

from __future__ import annotations

import ipaddress
import os
import pathlib
from typing import TYPE_CHECKING
import urllib.parse

from lycheering.settings import model

if TYPE_CHECKING:
    from lycheering.settings import ini

ROLE_SECTIONS = ("entry", "agent", "log_store")
MIN_SILENCE_HEARTBEATS = 2
MAX_MEMBERS = 7
FRAME_OVERHEAD_BYTES = 4_096


def check(
    document: ini.Document, section_by_name: dict[str, model.Section]
) -> None:
    """Adds the findings that the types of single options don't cover.

    Args:
        document: The file, to which the findings are added.
        section_by_name: The sections whose options are all valid.
    """
    _check_role(document)
    for section in section_by_name.values():
        match section:
            case model.InstanceSettings():
                _check_instance(document, section)
            case model.WireSettings():
                _check_wire(document, section)
            case model.MetricsSettings():
                _check_metrics(document, section)
            case model.ControlSettings():
                _check_control(document, section)
            case model.LogStoreSettings():
                _check_log_store(document, section)
            case model.EntrySettings():
                _check_entry(document, section)
            case model.AgentSettings():
                _check_agent(document, section)
    _check_direct(document, section_by_name)
    _check_is_member(document, section_by_name)
    _check_body_fits_frame(document, section_by_name)


def _check_role(document: ini.Document) -> None:
    present = [
        name
        for name in ROLE_SECTIONS
        if name in document.text_by_option_by_section
    ]
    if not present:
        names = ", ".join(f"[{name}]" for name in ROLE_SECTIONS)
        document.add(
            "", "", f"no role: one of the sections {names} is required"
        )
    for name in present[1:]:
        document.add(
            name, "", f"only one role is allowed, and [{present[0]}] is set too"
        )


def _check_instance(
    document: ini.Document, section: model.InstanceSettings
) -> None:
    if ipaddress.ip_address(section.ip).is_unspecified:
        document.add(
            "instance", "ip", "peers can't connect to an unspecified IP address"
        )


def _check_wire(document: ini.Document, section: model.WireSettings) -> None:
    min_silence_ms = MIN_SILENCE_HEARTBEATS * section.heartbeat_ms
    if section.silence_ms < min_silence_ms:
        problem = (
            f"below {MIN_SILENCE_HEARTBEATS} heartbeats ({min_silence_ms} ms)"
        )
        document.add("wire", "silence_ms", problem)
    control_heartbeat_ms = section.control_heartbeat_ms
    if 0 < control_heartbeat_ms < section.heartbeat_ms:
        document.add("wire", "control_heartbeat_ms", "below heartbeat_ms")
    if section.idle_close_ms < section.silence_ms:
        document.add("wire", "idle_close_ms", "below silence_ms")
    key_file = section.curve_secret_key_file
    peers_file = section.curve_peers_file
    if key_file and not peers_file:
        problem = "requires curve_peers_file"
        document.add("wire", "curve_secret_key_file", problem)
    if peers_file and not key_file:
        problem = "requires curve_secret_key_file"
        document.add("wire", "curve_peers_file", problem)
    _check_file(document, "wire", "curve_secret_key_file", key_file)
    _check_file(document, "wire", "curve_peers_file", peers_file)


def _check_metrics(
    document: ini.Document, section: model.MetricsSettings
) -> None:
    if section.statsd_ip and not _is_ip(section.statsd_ip):
        document.add("metrics", "statsd_ip", "not an IP address")


def _check_control(
    document: ini.Document, section: model.ControlSettings
) -> None:
    names = [member.instance for member in section.members]
    addresses = [(member.ip, member.port) for member in section.members]
    problems = []
    if names and section.seeds:
        document.add("control", "seeds", "members and seeds are both set")
    if not names and not section.seeds:
        problems.append("neither members nor seeds are set")
    if len(names) > MAX_MEMBERS:
        problems.append(f"more than {MAX_MEMBERS} control instances")
    if len(set(names)) < len(names):
        problems.append("duplicate instance name")
    if len(set(addresses)) < len(addresses):
        problems.append("duplicate address")
    if any(member.port == 0 for member in section.members):
        problems.append("port 0 can't be connected to")
    for problem in problems:
        document.add("control", "members", problem)


def _check_log_store(
    document: ini.Document, section: model.LogStoreSettings
) -> None:
    if section.leader_lease_ms >= section.election_timeout_ms:
        problem = "not below election_timeout_ms: two leaders could be active"
        document.add("log_store", "leader_lease_ms", problem)
    _check_folder(document, "log_store", "data_folder", section.data_folder)
    if not section.data_folder:
        document.add("log_store", "data_folder", "empty")
    _check_url(document, "log_store", "platform_url", section.platform_url)
    _check_file(
        document, "log_store", "operator_key_file", section.operator_key_file
    )


def _check_entry(document: ini.Document, section: model.EntrySettings) -> None:
    _check_folder(document, "entry", "state_folder", section.state_folder)
    _check_file(
        document, "entry", "operator_key_file", section.operator_key_file
    )


def _check_agent(document: ini.Document, section: model.AgentSettings) -> None:
    _check_url(document, "agent", "url", section.url)
    if not section.url:
        document.add("agent", "url", "empty")
    _check_url(document, "agent", "kv_store_url", section.kv_store_url)
    if section.kind == "engine":
        if not section.model:
            document.add("agent", "model", "required for an engine")
        if section.service:
            document.add("agent", "service", "not allowed for an engine")
        return
    if not section.service:
        document.add("agent", "service", "required for a plain service")
    for option in ("model", "kv_store_url"):
        if getattr(section, option):
            document.add("agent", option, "allowed for an engine only")


def _check_direct(
    document: ini.Document, section_by_name: dict[str, model.Section]
) -> None:
    direct = section_by_name.get("direct")
    if not isinstance(direct, model.DirectSettings):
        return
    required: tuple[str, ...] = ()
    if "entry" in section_by_name:
        required = ("caller_address", "ready_address")
    elif "log_store" in section_by_name:
        required = ("operator_address", "list_address")
    for option in required:
        if not getattr(direct, option):
            document.add("direct", option, "required for this role")


def _check_is_member(
    document: ini.Document, section_by_name: dict[str, model.Section]
) -> None:
    log_store = section_by_name.get("log_store")
    instance = section_by_name.get("instance")
    control = section_by_name.get("control")
    if (
        not isinstance(log_store, model.LogStoreSettings)
        or not isinstance(instance, model.InstanceSettings)
        or not isinstance(control, model.ControlSettings)
    ):
        return
    if control.seeds:
        return
    names = {member.instance for member in control.members}
    if instance.name not in names and not log_store.join:
        problem = f"{instance.name} is not a member, and join is off"
        document.add("control", "members", problem)


def _check_body_fits_frame(
    document: ini.Document, section_by_name: dict[str, model.Section]
) -> None:
    entry = section_by_name.get("entry")
    wire = section_by_name.get("wire", model.WireSettings())
    if not isinstance(entry, model.EntrySettings):
        return
    if not isinstance(wire, model.WireSettings):
        return
    max_bytes = wire.max_frame_bytes - FRAME_OVERHEAD_BYTES
    if entry.max_body_bytes > max_bytes:
        problem = f"larger than a frame can carry ({max_bytes} bytes)"
        document.add("entry", "max_body_bytes", problem)


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_url(
    document: ini.Document, section: str, option: str, url: str
) -> None:
    if not url:
        return
    try:
        parts = urllib.parse.urlsplit(url)
        host, port = parts.hostname or "", parts.port
    except ValueError as error:
        document.add(section, option, str(error))
        return
    if parts.scheme != "http" or not port or not _is_ip(host):
        problem = f"expected http://ip:port, found {url!r}"
        document.add(section, option, problem)


def _check_folder(
    document: ini.Document, section: str, option: str, text: str
) -> None:
    path = pathlib.Path(text)
    if text and path.exists():
        if not path.is_dir():
            document.add(section, option, "not a folder")
        elif not os.access(path, os.R_OK | os.W_OK | os.X_OK):
            document.add(
                section, option, "not readable and writable by this user"
            )


def _check_file(
    document: ini.Document, section: str, option: str, text: str
) -> None:
    if text and not os.access(text, os.R_OK):
        document.add(section, option, f"can't be read: {text}")


__all__ = ["MAX_MEMBERS", "MIN_SILENCE_HEARTBEATS", "ROLE_SECTIONS", "check"]
