"""Parses the HTTP requests of callers into jobs."""

from __future__ import annotations

import asyncio
import hashlib
import re
from typing import TYPE_CHECKING

from lycheering.entry import callers
from lycheering.entry import job as jobs
from lycheering.entry import refusals
from lycheering.entry import request_bodies
from lycheering.fleet import view as fleet_view
from lycheering.routing import levels as prefix_levels
from lycheering.routing import router as routers
from lycheering.wire import messages

if TYPE_CHECKING:
    import blacksheep

    from lycheering import clock
    from lycheering.fleet import records
    from lycheering.fleet import view_holder
    from lycheering.settings import model

MAX_DEADLINE_MS = 86_400_000
MAX_KEY_CHARS = 200
MAX_PATH_CHARS = 2_000

_KEY_PATTERN = re.compile(r"[!-~]{1,200}")


def header(request: blacksheep.Request, name: bytes) -> str:
    """Returns the value of a header, or an empty string if it is missing.

    Raises:
        RefusalError: If the header is repeated or not ASCII.
    """
    values = request.get_headers(name)
    if not values:
        return ""
    text = name.decode()
    if len(values) > 1:
        raise refusals.bad_request(f"{text}: is given more than once")
    try:
        return values[0].decode("ascii").strip()
    except UnicodeDecodeError as error:
        raise refusals.bad_request(f"{text}: is not ASCII") from error


class RequestParser:
    """Authenticates callers, and validates and parses their requests."""

    def __init__(
        self,
        settings: model.EntrySettings,
        view: view_holder.ViewHolder,
        time: clock.Clock,
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = time

    def authenticate_team(
        self, request: blacksheep.Request, *, is_current: bool
    ) -> records.Team:
        """Returns the team to which the request's bearer key belongs.

        Args:
            request: The caller's request.
            is_current: Whether the local settings are known to be current.

        Raises:
            RefusalError: If the key is missing or unknown.
        """
        scheme, _, key = header(request, b"authorization").partition(" ")
        team = None
        if scheme.lower() == "bearer" and key:
            team = self._view.fleet.find_team_by_key(key.strip())
        if team is not None:
            return team
        if key and not is_current:
            raise refusals.RefusalError(
                messages.Reason.FLEET_LEASE,
                "the key is unknown, but the settings here may be outdated",
                not_run=True,
            )
        raise refusals.RefusalError(
            messages.Reason.UNAUTHORIZED,
            "expected a known key in Authorization: Bearer",
            not_run=True,
        )

    async def read_body(self, request: blacksheep.Request) -> bytes:
        """Returns the body of a request.

        Raises:
            RefusalError: If the body is too large or arrives too slowly.
            CallerGoneError: If the caller disconnects.
        """
        limit = self._settings.max_body_bytes
        length = header(request, b"content-length")
        too_large = refusals.RefusalError(
            messages.Reason.TOO_LARGE,
            f"the body exceeds {limit} bytes",
            not_run=True,
        )
        if length.isdigit() and int(length) > limit:
            raise too_large
        body = bytearray()
        receive = callers.caller_of(request).receive
        has_more = True
        while has_more:
            try:
                async with asyncio.timeout(
                    self._settings.caller_stall_ms / 1_000
                ):
                    message = await receive()
            except TimeoutError as error:
                raise refusals.bad_request(
                    "the body did not arrive in time"
                ) from error
            if message["type"] == callers.DISCONNECT:
                raise callers.CallerGoneError
            body += message.get("body", b"")
            has_more = bool(message.get("more_body"))
            if len(body) > limit:
                raise too_large
        return bytes(body)

    async def parse_completion(
        self,
        request: blacksheep.Request,
        team: str,
        caller_request_id: str,
        form: jobs.AnswerForm,
    ) -> jobs.Job:
        """Returns the job for a completion request.

        Raises:
            RefusalError: If the request is invalid.
        """
        raw_body = await self.read_body(request)
        is_chat = form is jobs.AnswerForm.CHAT
        body = request_bodies.parse_body(raw_body, chat=is_chat)
        subject = fleet_view.Subject(team=team, model=body.model)
        priority_class = self._priority_class(
            request, jobs.PriorityClass.TAG_QUERY
        )
        path = "/v1/chat/completions" if is_chat else "/v1/completions"
        key = self._idempotency_key(request)
        return jobs.Job(
            request_id=callers.new_run_id(caller_request_id),
            caller_request_id=caller_request_id,
            team=team,
            priority_class=priority_class,
            priority=self._priority(priority_class, subject),
            deadline_at_ms=self._deadline_ms(request, priority_class, subject),
            form=form,
            requirement=routers.TargetRequirement(model=body.model),
            path=path,
            body=request_bodies.target_body(raw_body),
            stream=body.stream,
            deterministic=body.deterministic,
            levels=self._levels(body, team, subject),
            idempotency_key=key,
            digest=_request_digest("POST", path, raw_body) if key else "",
        )

    async def parse_service_call(
        self,
        request: blacksheep.Request,
        team: str,
        caller_request_id: str,
        service: str,
        path: str,
    ) -> jobs.Job:
        """Returns the job for a call to a service.

        Raises:
            RefusalError: If the request is invalid.
        """
        if len(path) > MAX_PATH_CHARS:
            raise refusals.bad_request(
                f"path: more than {MAX_PATH_CHARS} characters"
            )
        body = await self.read_body(request)
        subject = fleet_view.Subject(team=team, service=service)
        key = self._idempotency_key(request)
        is_repeatable = self._view.fleet.boolean_option(
            "calls.repeatable", subject
        )
        if not is_repeatable and not key:
            raise refusals.bad_request(
                f"Idempotency-Key: required by the service {service}"
            )
        priority_class = self._priority_class(
            request, jobs.PriorityClass.LOOKUP
        )
        content_type = header(request, b"content-type")
        method = request.method.upper()
        return jobs.Job(
            request_id=callers.new_run_id(caller_request_id),
            caller_request_id=caller_request_id,
            team=team,
            priority_class=priority_class,
            priority=self._priority(priority_class, subject),
            deadline_at_ms=self._deadline_ms(request, priority_class, subject),
            form=jobs.AnswerForm.SERVICE,
            requirement=routers.TargetRequirement(service=service),
            path=path,
            method=method,
            body=body,
            content_type=content_type or "application/octet-stream",
            idempotency_key=key,
            digest=_request_digest(method, f"{service}{path}", body)
            if key
            else "",
        )

    def _levels(
        self,
        body: request_bodies.ChatBody | request_bodies.CompletionBody,
        team: str,
        subject: fleet_view.Subject,
    ) -> prefix_levels.Levels:
        prompt = body.prompt_text()
        if body.prefix_levels is None:
            return prefix_levels.from_message_ends(
                prompt, body.message_ends(), model=body.model, team=team
            )
        try:
            ends = prefix_levels.check_ends(body.prefix_levels, len(prompt))
        except prefix_levels.LevelsError as error:
            raise refusals.bad_request(str(error)) from error
        shared_count = self._view.fleet.integer("prefix.shared_levels", subject)
        return prefix_levels.from_declared_ends(
            prompt,
            ends,
            model=body.model,
            team=team,
            shared_count=shared_count,
            shared_generation=self._view.fleet.shared_generation,
        )

    def _priority_class(
        self, request: blacksheep.Request, default: jobs.PriorityClass
    ) -> jobs.PriorityClass:
        text = header(request, b"x-priority-class")
        if not text:
            return default
        try:
            return jobs.PriorityClass(text)
        except ValueError as error:
            choices = ", ".join(jobs.PriorityClass)
            raise refusals.bad_request(
                f"X-Priority-Class: expected one of {choices}"
            ) from error

    def _priority(
        self, priority_class: jobs.PriorityClass, subject: fleet_view.Subject
    ) -> int:
        option = f"priority.{priority_class.value}"
        return self._view.fleet.integer(option, subject)

    def _deadline_ms(
        self,
        request: blacksheep.Request,
        priority_class: jobs.PriorityClass,
        subject: fleet_view.Subject,
    ) -> float:
        text = header(request, b"x-deadline-ms")
        if text:
            if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
                raise refusals.bad_request(
                    f"X-Deadline-Ms: expected 1 to {MAX_DEADLINE_MS}"
                )
            allowed_ms = float(text)
        else:
            option = f"deadline_ms.{priority_class.value}"
            allowed_ms = self._view.fleet.number(option, subject)
        return self._clock.now_ms() + allowed_ms

    def _idempotency_key(self, request: blacksheep.Request) -> str:
        key = header(request, b"idempotency-key")
        if key and not _KEY_PATTERN.fullmatch(key):
            raise refusals.bad_request(
                f"Idempotency-Key: expected 1 to {MAX_KEY_CHARS} visible"
                " ASCII characters"
            )
        if not key and request.get_headers(b"idempotency-key"):
            raise refusals.bad_request("Idempotency-Key: is empty")
        return key


def _request_digest(method: str, path: str, body: bytes) -> str:
    digest = hashlib.sha256(f"{method} {path}\0".encode())
    digest.update(body)
    return digest.hexdigest()


__all__ = ["RequestParser", "header"]
