"""What commands that call control instances have in common."""

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

AT_VARIABLE = "LYCHEERING_AT"
KEY_FILE_VARIABLE = "LYCHEERING_KEY_FILE"
OPERATOR_VARIABLE = "LYCHEERING_OPERATOR"


class UsageError(Exception):
    """A command was given arguments that it can't use."""


def parse_origin(text: str) -> web_client.Origin:
    """Reads `ip:port`.

    Raises:
        UsageError: If the text has another shape.
    """
    try:
        return web_client.Origin.parse(f"http://{text.strip()}")
    except ValueError as error:
        raise UsageError(f"expected ip:port, found {text!r}") from error


def read_key(file: str) -> str:
    """Returns the first key of a key file; empty without a file.

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
    """A command that calls other processes and maps failures to codes."""

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
            output.problem(str(error))
            return exit_codes.ExitCode.USAGE
        except errors.RefusedError as error:
            output.problem(str(error))
            return exit_codes.ExitCode.REFUSED
        except errors.UnreachableError as error:
            output.problem(f"unreachable: {error}")
            return exit_codes.ExitCode.UNREACHABLE
        except errors.OutcomeUnknownError as error:
            output.problem(f"outcome unknown: {error}")
            return exit_codes.ExitCode.OUTCOME_UNKNOWN
        except errors.MalformedAnswerError as error:
            output.problem(f"malformed answer: {error}")
            return exit_codes.ExitCode.FAILED

    @abc.abstractmethod
    async def run(self) -> int:
        """Does the work and returns the exit code."""


@dataclasses.dataclass(kw_only=True)
class OperatorCommand(RemoteCommand):
    """A command that calls control instances."""

    at: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            help=f"ip:port of a control instance's operator endpoint, "
            f"repeatable; else ${AT_VARIABLE}, comma-separated.",
        ),
    ] = dataclasses.field(default_factory=list)
    patience_ms: Annotated[
        int,
        cappa.Arg(
            long=True,
            help="How long a change whose answer is lost is sent again.",
        ),
    ] = client.RETRY_TIMEOUT_MS

    def client(self) -> client.OperatorClient:
        """Returns a client of the endpoints given.

        Raises:
            UsageError: If none is given or one is malformed.
        """
        texts = self.at or os.environ.get(AT_VARIABLE, "").split(",")
        origins = [parse_origin(text) for text in texts if text.strip()]
        if not origins:
            raise UsageError(f"give --at ip:port or set {AT_VARIABLE}")
        key = read_key(self.key_file)
        return client.OperatorClient(origins, key, self.patience_ms)


@dataclasses.dataclass(kw_only=True)
class WriteCommand(OperatorCommand):
    """A command that changes the configuration."""

    reason: Annotated[
        str,
        cappa.Arg(long=True, required=True, help="The written reason."),
    ]
    operator: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env(OPERATOR_VARIABLE, default=""),
            help=f"Who makes the change; else ${OPERATOR_VARIABLE}, "
            "else the user's name.",
        ),
    ] = ""
    change_id: Annotated[
        str,
        cappa.Arg(long=True, help="Id of the change; a resend repeats it."),
    ] = ""
    expect: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Config revision the change builds on; else the present one.",
        ),
    ] = None

    async def sign(
        self, operator_client: client.OperatorClient
    ) -> calls.ChangeMetadata:
        """Returns what the change carries, and prints how to resend it."""
        if not self.reason.strip():
            raise UsageError("--reason: a written reason is required")
        expected = self.expect
        if expected is None:
            expected = await present_revision(operator_client)
        change_id = self.change_id or calls.new_change_id()
        output.problem(
            f"resend with --change-id {change_id} --expect {expected}"
        )
        operator = self.operator or getpass.getuser()
        return calls.ChangeMetadata(change_id, expected, operator, self.reason)

    async def write(
        self, operator_client: client.OperatorClient, call: client.Call
    ) -> int:
        """Makes a change and prints its outcome."""
        content = await operator_client.call(call)
        if self.json:
            output.as_json(content)
        else:
            print_written(client.decode(content, answers.WriteAnswer))
        return exit_codes.ExitCode.OK


async def present_revision(operator_client: client.OperatorClient) -> int:
    """Returns the present config revision."""
    answer = await operator_client.call_decoded(
        calls.read("/v1/defaults"), answers.ReadAnswer
    )
    return answer.config_revision


def print_written(answer: answers.WriteAnswer) -> None:
    """Prints the outcome of an accepted change."""
    note = ", accepted before" if answer.resent else ""
    print(f"config revision {answer.config_revision}{note}")
    if answer.exception_id:
        print(f"exception {answer.exception_id}")


__all__ = [
    "AT_VARIABLE",
    "KEY_FILE_VARIABLE",
    "OPERATOR_VARIABLE",
    "OperatorCommand",
    "RemoteCommand",
    "UsageError",
    "WriteCommand",
    "parse_origin",
    "present_revision",
    "print_written",
    "read_key",
]
