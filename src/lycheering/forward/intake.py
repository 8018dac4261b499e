"""Accepts requests: finds the route and team, reads the body."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from lycheering import integers
from lycheering.forward import api
from lycheering.forward import pending_request
from lycheering.forward import prefix_cache_model
from lycheering.forward import prompt_order
from lycheering.forward import refusals
from lycheering.forward import target_selection
from lycheering.forward import weight_versions
from lycheering.routes import api as route_api

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lycheering import clock
    from lycheering.fleet import view_holder
    from lycheering.forward import caller as callers
    from lycheering.forward import target_registry
    from lycheering.settings import model

NO_TABLE_RETRY_AFTER_MS = 700.0
# A request waits for the confirmation that the settings are current for at
# most this long, and this fraction of its own timeout.
MAX_CURRENT_WAIT_MS = 600.0
MAX_CURRENT_WAIT_FRACTION = 0.2
MAX_EVENT_ID_DIGITS = 18


@dataclasses.dataclass(frozen=True)
class IncomingRequest:
    """The head of a request as the HTTP server received it.

    Attributes:
        method: Its HTTP method.
        host: Host name of its host header, without the port.
        path: Its path without the query.
        path_and_query: Its path with the query, unchanged.
        headers: Its headers.
        arrived_ms: Time at which it arrived.
    """

    method: str
    host: str
    path: str
    path_and_query: str
    headers: api.Headers
    arrived_ms: float


class RequestIntake:
    """Checks incoming requests against the route table in force.

    Attributes:
        route_index: Index of the route table; None before the first table.
    """

    def __init__(
        self,
        view: view_holder.ViewHolder,
        registry: target_registry.TargetRegistry,
        header_codec: api.HeaderCodec,
        wait_until_current: Callable[[float], Awaitable[bool]],
        time: clock.Clock,
        room_order: model.RoomOrder = "auto",
    ) -> None:
        """Creates an intake that follows the fleet view.

        Args:
            view: The fleet view in force.
            registry: The states of all targets, which the intake updates with
                each new view.
            header_codec: Reads and writes the headers of callers.
            wait_until_current: Waits until the settings are known to be
                current, for at most the given milliseconds, and returns
                whether they are.
            time: The clock.
            room_order: In which order requests get room at targets.
        """
        self._room_order = room_order
        self.route_index: route_api.RouteIndex | None = None
        self._prompt_order: prompt_order.PromptOrder | None = None
        self._view = view
        self._registry = registry
        self._header_codec = header_codec
        self._wait_until_current = wait_until_current
        self._clock = time
        self._rng = random.Random()
        self._weight_versions = weight_versions.WeightVersions(time)
        view.listen(self._apply_view)

    def _apply_view(self) -> None:
        fleet = self._view.fleet
        self._weight_versions.update(fleet, is_first=self.route_index is None)
        table = fleet.route_table
        if table is None:
            return
        if self.route_index is None or self.route_index.table is not table:
            self.route_index = route_api.RouteIndex(table)
            self._prompt_order = None
            if ranks_requests(table, self._room_order):
                self._prompt_order = prompt_order.PromptOrder(table)
        self._registry.update(
            fleet.direct_target_by_key.values(),
            self.route_index.service_by_name,
        )

    async def accept(
        self, incoming: IncomingRequest, caller: callers.Caller
    ) -> pending_request.PendingRequest:
        """Reads and checks a request.

        Raises:
            RefusalError: If the request is refused.
            CallerGoneError: If the caller disconnected before its end.
        """
        index = self._current_index()
        try:
            metadata = self._header_codec.read_request(incoming.headers)
        except api.BadRequestError as error:
            raise refusals.RefusalError(
                refusals.Reason.BAD_REQUEST, str(error)
            ) from error
        route = index.find_route(incoming.host, incoming.path)
        if route is None:
            raise refusals.RefusalError(refusals.Reason.NO_ROUTE)
        timeout_ms = route.timeout_ms
        if metadata.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, metadata.caller_timeout_ms)
        limits = index.table.limits
        # what is refused by its head is not read
        _check_announced(incoming.headers, limits.max_body_bytes)
        if index.find_team(metadata.bearer_key) is None:
            await self._team(index, route, metadata.bearer_key, timeout_ms)
        body = await caller.read_body(limits.max_body_bytes, timeout_ms)
        _check_length(incoming.headers, body)
        # The key is checked last, since it may be withdrawn while the body is
        # read.
        team = await self._team(index, route, metadata.bearer_key, timeout_ms)
        service = index.select_service(route, self._rng)
        priority = route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        cache_scope = self._cache_scope(team)
        profile = self._profile(metadata, cache_scope, route, service.name)
        first_level = 0
        if metadata.model and self._prompt_order is not None:
            order = self._prompt_order
            priority = order.level(priority, route, service.name)
            first_level = order.first_level(service.name)
            is_first = priority <= first_level
            overtaking = 0.0
            if not is_first:
                overtaking = self._registry.overtaking(service.name)
            profile = dataclasses.replace(
                profile, is_first=is_first, overtaking=overtaking
            )
        return pending_request.PendingRequest(
            caller=caller,
            metadata=metadata,
            method=incoming.method,
            path=incoming.path_and_query,
            headers=incoming.headers,
            body=body,
            route=route,
            service=service,
            team=team,
            priority=priority,
            arrived_ms=incoming.arrived_ms,
            deadline_ms=incoming.arrived_ms + timeout_ms,
            is_ranked=self._prompt_order is not None,
            first_level=first_level,
            cache_scope=cache_scope,
            profile=profile,
            last_event_id=_resumed_event_id(metadata, route),
        )

    def _current_index(self) -> route_api.RouteIndex:
        if self.route_index is None:
            raise refusals.RefusalError(
                refusals.Reason.NO_TABLE,
                "no route table received yet",
                NO_TABLE_RETRY_AFTER_MS,
            )
        return self.route_index

    async def _team(
        self,
        index: route_api.RouteIndex,
        route: route_api.Route,
        key: str,
        timeout_ms: float,
    ) -> route_api.RouteTableTeam | None:
        if route.is_public or not index.table.needs_key:
            return None
        # an outdated table may accept withdrawn keys or reject new ones
        max_wait_ms = min(
            MAX_CURRENT_WAIT_MS, MAX_CURRENT_WAIT_FRACTION * timeout_ms
        )
        if not await self._wait_until_current(max_wait_ms):
            raise refusals.RefusalError(
                refusals.Reason.NOT_CURRENT,
                "settings are not confirmed to be current",
                NO_TABLE_RETRY_AFTER_MS,
            )
        # a new table may have arrived during the wait
        index = self._current_index()
        team = index.find_team(key) if key else None
        if team is None:
            raise refusals.RefusalError(refusals.Reason.BAD_KEY)
        return team

    def _cache_scope(self, team: route_api.RouteTableTeam | None) -> str:
        """Returns the cache scope of a team by the table in force."""
        return self._current_index().cache_scopes.scope(team)

    def update_cache_scope(
        self, request: pending_request.PendingRequest
    ) -> None:
        """Lets a request use the cache scope of the table in force.

        A team may have become isolated while the request waited.
        """
        scope = self._cache_scope(request.team)
        if scope == request.cache_scope:
            return
        request.cache_scope = scope
        hashes = prefix_cache_model.hash_prefixes(
            scope, request.metadata.prompt_parts
        )
        request.profile = dataclasses.replace(
            request.profile, prefix_hashes=tuple(hashes)
        )

    def _profile(
        self,
        metadata: api.RequestMetadata,
        cache_scope: str,
        route: route_api.Route,
        service: str,
    ) -> target_selection.RequestProfile:
        if not metadata.prompt_parts:
            return target_selection.RequestProfile(
                objective_ms=route.objective_ms
            )
        prefix_hashes = prefix_cache_model.hash_prefixes(
            cache_scope, metadata.prompt_parts
        )
        tokens_in_parts = sum(part.tokens for part in metadata.prompt_parts)
        prompt_tokens = max(metadata.prompt_tokens, tokens_in_parts)
        shared_tokens = tokens_in_parts - metadata.prompt_parts[-1].tokens
        shared_hashes = prefix_hashes[:-1] or prefix_hashes
        self._registry.prefix_load.record(
            shared_hashes, prompt_tokens, self._clock.now_ms()
        )
        affinity_key, replica_count = self._registry.prefix_load.placement(
            shared_hashes, len(self._registry.live_targets(service))
        )
        return target_selection.RequestProfile(
            prompt_tokens=prompt_tokens,
            shared_tokens=shared_tokens,
            prefix_hashes=tuple(prefix_hashes),
            affinity_key=affinity_key,
            replica_count=replica_count,
            model=metadata.model,
            version_ages=self._weight_versions.ages(metadata.model),
            objective_ms=route.objective_ms,
            mean_prefill_tokens=self._registry.mean_prefill_tokens(service),
            gap_ms=self._registry.mean_gap_ms(route.name),
            gap_objective_ms=route.gap_objective_ms,
        )


def ranks_requests(
    table: route_api.RouteTable, room_order: model.RoomOrder
) -> bool:
    """Returns whether teams and kinds decide who gets room at targets."""
    if room_order != "auto":
        return room_order == "ranked"
    return any(team.has_allowance for team in table.teams)


def _resumed_event_id(
    metadata: api.RequestMetadata, route: route_api.Route
) -> str:
    """Returns the id after which a stream goes on; empty for its beginning.

    Raises:
        RefusalError: If what the caller names is no id of an event.
    """
    text = metadata.last_event_id
    if route.kind is not route_api.RouteKind.STREAM or not text:
        return text
    if not route.resumes_streams:
        return ""
    number = integers.parse_non_negative(text, MAX_EVENT_ID_DIGITS)
    if number is None:
        raise refusals.RefusalError(
            refusals.Reason.BAD_REQUEST,
            f"last event id: {text[:MAX_EVENT_ID_DIGITS]!r} is no number",
        )
    return str(number)


def _check_announced(headers: api.Headers, max_bytes: int) -> None:
    """Checks the length of a body before it is read.

    Raises:
        RefusalError: If it is too large.
    """
    for name, value in headers:
        if name == b"content-length":
            length = integers.parse_non_negative(value.decode("latin-1"))
            if length is not None and length > max_bytes:
                raise refusals.RefusalError(
                    refusals.Reason.BODY_TOO_LARGE,
                    f"body exceeds {max_bytes} bytes",
                )


def _check_length(headers: api.Headers, body: bytes) -> None:
    """Checks that a body is as long as its header says.

    Raises:
        RefusalError: If it is not.
    """
    for name, value in headers:
        if name == b"content-length" and value != b"%d" % len(body):
            length = integers.parse_non_negative(value.decode("latin-1"))
            if length != len(body):
                raise refusals.RefusalError(
                    refusals.Reason.BODY_INCOMPLETE,
                    f"body has {len(body)} bytes",
                )


__all__ = ["IncomingRequest", "RequestIntake", "ranks_requests"]
