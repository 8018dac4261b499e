"""The command that checks settings files and seed files."""

from __future__ import annotations

import dataclasses
import json

from lycheering.commands import exit_codes
from lycheering.operator import seed
from lycheering.settings import ini
from lycheering.settings import load


def run(files: list[str], *, as_json: bool = False) -> int:
    """Checks settings and seed files and prints every finding.

    Args:
        files: The paths of the files.
        as_json: Whether to print the findings as JSON.

    Returns:
        The exit code.
    """
    findings: list[load.Finding] = []
    for file in files:
        try:
            _check(file)
        except load.SettingsError as error:
            findings += error.findings
    if as_json:
        finding_rows = [dataclasses.asdict(finding) for finding in findings]
        print(json.dumps({"findings": finding_rows}, indent=2))
    else:
        for finding in findings:
            print(finding)
        print(f"{len(files)} checked, {len(findings)} findings")
    if findings:
        return exit_codes.ExitCode.FAILED
    return exit_codes.ExitCode.OK


def _check(file: str) -> None:
    document = ini.read(file)
    if seed.is_seed(document):
        seed.parse(document)
        return
    settings = load.load(file)
    if settings.wire.curve_secret_key_file:
        # the messaging library is imported only for files with keys
        from lycheering.wire import security

        security.make_security(settings.wire)


__all__ = ["run"]
