"""What operators ask of the control instances of a fleet."""

from __future__ import annotations

import secrets
import time

from bench import json_calls

OPERATOR = "bench"
# how long a change that was not done is sent again, as its answer tells
PATIENCE_S = 5.0
PAUSE_S = 0.5


class OperatorCalls:
    """Calls the operator endpoints of a fleet.

    Attributes:
        operator_urls: Where operators reach each control instance.
    """

    def __init__(self) -> None:
        """Begins without any control instance."""
        self.operator_urls: list[str] = []

    def operator(
        self, path: str, method: str = "GET", body: object = None
    ) -> object:
        """Calls the operator endpoint of the first instance that answers.

        Raises:
            json_calls.OperatorError: If it refuses.
            OSError: If no instance answers.
        """
        failure: Exception = OSError("no control instance")
        for url in self.operator_urls:
            try:
                return json_calls.call_json(url + path, method, body)
            except json_calls.OperatorError as error:
                if error.status != 503:
                    raise
                failure = error
            except OSError as error:
                failure = error
        raise failure

    def _send(self, path: str, body: dict[str, object]) -> object:
        """Sends a change until it is decided; its id makes it count once.

        Raises:
            json_calls.OperatorError: If it is refused, or not decided in time.
            OSError: If no instance answers.
        """
        give_up_s = time.monotonic() + PATIENCE_S
        while True:
            try:
                return self.operator(path, "POST", body)
            except json_calls.OperatorError as error:
                if error.status != 503 or time.monotonic() >= give_up_s:
                    raise
            time.sleep(PAUSE_S)

    def revision(self) -> int:
        """Returns the config revision in force at control.

        An instance that is behind says that its state may not be current; the
        next one is asked then.

        Raises:
            json_calls.OperatorError: If an instance refuses.
            OSError: If no instance knows it in time.
        """
        give_up_s = time.monotonic() + PATIENCE_S
        while time.monotonic() < give_up_s:
            for url in self.operator_urls:
                try:
                    reply = json_calls.call_json(url + "/v1/defaults")
                except json_calls.OperatorError as error:
                    if error.status != 503:
                        raise
                    continue
                except OSError:
                    continue
                assert isinstance(reply, dict)
                if reply["current"]:
                    return int(reply["config_revision"])
            time.sleep(PAUSE_S)
        raise OSError("no control instance has the current revision")

    def change(self, reason: str, **fields: object) -> dict[str, object]:
        """Returns the body of a change of what is in force now."""
        return {
            "reason": reason,
            "change_id": secrets.token_hex(8),
            "expected_revision": self.revision(),
            "operator": OPERATOR,
            **fields,
        }

    def set_default(
        self, option: str, value: bool | int | float | str
    ) -> object:
        """Sets a default for the whole fleet."""
        body = self.change("the bench's plan", option=option, value=value)
        return self._send("/v1/defaults", body)

    def add_exception(
        self,
        kind: str,
        name: str,
        option: str,
        value: bool | int | float | str,
        reason: str,
    ) -> object:
        """Adds an exception."""
        body = self.change(
            reason,
            scope={"kind": kind, "name": name},
            option=option,
            value=value,
        )
        return self._send("/v1/exceptions", body)


__all__ = ["OPERATOR", "OperatorCalls"]
