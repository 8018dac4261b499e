"""Base classes of the commands that call other processes."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import getpass
import os
import pathlib
from typing import Annotated

import cappa

from lycheering.commands import exit_codes
from lycheering.commands import output
from lycheering.operator import answers
from lycheering.operator import calls
from lycheering.operator import client
from lycheering.operator import errors
from lycheering.web import client as web_client

ENDPOINTS_VARIABLE = "LYCHEERING_AT"
KEY_FILE_VARIABLE = "LYCHEERING_KEY_FILE"
OPERATOR_VARIABLE = "LYCHEERING_OPERATOR"


class UsageError(Exception):
    """A command was given invalid arguments."""


def parse_origin(text: str) -> web_client.Origin:
    """Parses `ip:port`.

    Raises:
        UsageError: If the text has another format.
    """
    try:
        return web_client.Origin.parse(f"http://{text.strip()}")
    except ValueError as error:
        raise UsageError(f"expected ip:port, found {text!r}") from error


def read_key(file: str) -> str:
    """Returns the first key of a key file, or an empty text without a file.

    Raises:
        UsageError: If the file can't be read or is empty.
    """
    if not file:
        return ""
    try:
        lines = pathlib.Path(file).read_text(encoding="utf-8").split()
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    if not lines:
        raise UsageError(f"{file}: no key")
    return lines[0]


@dataclasses.dataclass(kw_only=True)
class RemoteCommand(abc.ABC):
    """A command that calls other processes.

    Errors of the calls are printed and become the exit code.
    """

    key_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(KEY_FILE_VARIABLE, default=""),
            help="File with the operator's bearer key.",
        ),
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> int:
        """Runs the command and returns its exit code."""
        try:
            return asyncio.run(self.run())
        except UsageError as error:
            output.print_error(str(error))
            return exit_codes.ExitCode.USAGE
        except errors.RefusedError as error:
            output.print_error(str(error))
            return exit_codes.ExitCode.REFUSED
        except errors.UnreachableError as error:
            output.print_error(f"unreachable: {error}")
            return exit_codes.ExitCode.UNREACHABLE
        except errors.OutcomeUnknownError as error:
            output.print_error(f"outcome unknown: {error}")
            return exit_codes.ExitCode.OUTCOME_UNKNOWN
        except errors.MalformedAnswerError as error:
            output.print_error(f"malformed response: {error}")
            return exit_codes.ExitCode.FAILED

    @abc.abstractmethod
    async def run(self) -> int:
        """Makes the calls, prints the outcome and returns the exit code."""


@dataclasses.dataclass(kw_only=True)
class OperatorCommand(RemoteCommand):
    """A command that calls control instances."""

    at: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help="ip:port of a control instance's operator endpoint; "
            f"repeatable. Default: the list in ${ENDPOINTS_VARIABLE}, "
            "comma-separated.",
        ),
    ] = dataclasses.field(default_factory=list)
    patience_ms: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="How long a change is resent if its response is lost.",
        ),
    ] = client.RETRY_TIMEOUT_MS

    def origins(self) -> list[web_client.Origin]:
        """Returns the given operator endpoints.

        Raises:
            UsageError: If no endpoint is given or one is malformed.
        """
        addresses = self.at or os.environ.get(ENDPOINTS_VARIABLE, "").split(",")
        origins = [
            parse_origin(address) for address in addresses if address.strip()
        ]
        if not origins:
            raise UsageError(f"give --at ip:port or set {ENDPOINTS_VARIABLE}")
        return origins

    def client(self) -> client.OperatorClient:
        """Returns a client of the given operator endpoints.

        Raises:
            UsageError: If no endpoint is given or one is malformed.
        """
        key = read_key(self.key_file)
        return client.OperatorClient(self.origins(), key, self.patience_ms)


@dataclasses.dataclass(kw_only=True)
class WriteCommand(OperatorCommand):
    """A command that changes the configuration."""

    reason: Annotated[
        str,
        cappa.Arg(long=True, required=True, help="The reason for the change."),
    ]
    operator: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(OPERATOR_VARIABLE, default=""),
            help="The operator who makes the change. "
            f"Default: ${OPERATOR_VARIABLE}, else the user's login name.",
        ),
    ] = ""
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True, help="Id of the change; to resend it, repeat its id."
        ),
    ] = ""
    expect: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Config revision that the change is based on. "
            "Default: the current one.",
        ),
    ] = None

    async def make_metadata(
        self, operator_client: client.OperatorClient
    ) -> calls.ChangeMetadata:
        """Returns the change's metadata and prints how to resend the change."""
        if not self.reason.strip():
            raise UsageError("--reason: must not be empty")
        expected_revision = self.expect
        if expected_revision is None:
            expected_revision = await read_config_revision(operator_client)
        change_id = self.change_id or calls.new_change_id()
        output.print_error(
            f"resend with --change-id {change_id} --expect {expected_revision}"
        )
        operator = self.operator or getpass.getuser()
        return calls.ChangeMetadata(
            change_id, expected_revision, operator, self.reason
        )

    async def send_change(
        self, operator_client: client.OperatorClient, call: client.Call
    ) -> int:
        """Sends a change and prints its outcome."""
        content = await operator_client.call(call)
        if self.json:
            output.print_json(content)
        else:
            print_change_outcome(client.decode(content, answers.WriteAnswer))
        return exit_codes.ExitCode.OK


async def read_config_revision(operator_client: client.OperatorClient) -> int:
    """Reads the current config revision."""
    answer = await operator_client.call_decoded(
        calls.read("/v1/defaults"), answers.ReadAnswer
    )
    return answer.config_revision


def print_change_outcome(answer: answers.WriteAnswer) -> None:
    """Prints the outcome of an accepted change."""
    note = ", accepted before" if answer.resent else ""
    print(f"config revision {answer.config_revision}{note}")
    if answer.exception_id:
        print(f"exception {answer.exception_id}")


__all__ = [
    "ENDPOINTS_VARIABLE",
    "KEY_FILE_VARIABLE",
    "OPERATOR_VARIABLE",
    "OperatorCommand",
    "RemoteCommand",
    "UsageError",
    "WriteCommand",
    "parse_origin",
    "print_change_outcome",
    "read_config_revision",
    "read_key",
]
