"""The target's state, and the poller that keeps it current."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheering.agent import target_order_exchange
from lycheering.app import api as app_api
from lycheering.targets import api as targets_api
from lycheering.telemetry import logs

if TYPE_CHECKING:
    from lycheering import clock as clocks
    from lycheering.settings import model
    from lycheering.wire import messages

MAX_FAILED_POLLS = 3
INITIAL_WEIGHTS_LOAD_MS = 1_000.0
SMOOTHING = 0.3

_LOG = logs.get("target")


class TargetState:
    """The last known state of the target.

    Attributes:
        is_up: Whether the target answers.
        incarnation: The engine's incarnation.
        weights_version: The version of the weights it serves.
        adapters: The adapters it has loaded.
        role: Its role.
        model: The model it serves.
        slots: The number of requests it can run at once.
        loading_version: The version of the weights that an order of this
            agent loads; empty for none.
        reported_loading: What the target reports to be loading; empty for
            nothing.
        weights_load_ms: Moving average of the time to load weights.
    """

    def __init__(
        self, settings: model.AgentSettings, clock: clocks.Clock
    ) -> None:
        self.is_up = False
        self.incarnation = ""
        self.weights_version = ""
        self.adapters: tuple[str, ...] = ()
        self.role = ""
        self.model = settings.model
        self.slots = settings.slots
        self.loading_version = ""
        self.reported_loading = ""
        self.weights_load_ms = INITIAL_WEIGHTS_LOAD_MS
        self._clock = clock
        self._load_started_ms = 0.0
        self._changed_ms = 0.0

    def update_from_load(self, load: targets_api.EngineLoadReport) -> None:
        """Updates the state from a load report, unless it is outdated.

        A report is outdated if it was sampled before a later change that is
        known from an order or an answer.
        """
        self.is_up = True
        self.slots = load.slots or self.slots
        sampled_ms = self._clock.now_ms() - load.age_ms
        is_same_incarnation = load.incarnation == self.incarnation
        if is_same_incarnation and sampled_ms <= self._changed_ms:
            return
        self.reported_loading = load.loading or ""
        self.incarnation = load.incarnation
        self.weights_version = load.weights_version
        self.adapters = load.adapters
        self.role = load.role
        self.model = load.model or self.model

    def update_from_head(self, head: targets_api.AnswerHead) -> None:
        """Updates incarnation and weights from the head of an answer."""
        if not head.incarnation:
            return
        is_changed = (
            head.incarnation != self.incarnation
            or head.weights_version != self.weights_version
        )
        if is_changed and not self.loading_version:
            self._changed_ms = self._clock.now_ms()
            self.incarnation = head.incarnation
            self.weights_version = head.weights_version

    def begin_weights_load(self, version: str) -> None:
        """Records the start of a weights load."""
        self.loading_version = version
        self._load_started_ms = self._clock.now_ms()

    def end_weights_load(self, done: bool) -> None:
        """Records the end of a weights load, and its duration if done."""
        now_ms = self._clock.now_ms()
        if done:
            self.weights_version = self.loading_version
            self.reported_loading = ""
            self._changed_ms = now_ms
            spent_ms = now_ms - self._load_started_ms
            self.weights_load_ms += SMOOTHING * (
                spent_ms - self.weights_load_ms
            )
        self.loading_version = ""

    def record_order_done(self, order: messages.TargetOrder) -> None:
        """Records the effect of a target order that was carried out."""
        self._changed_ms = self._clock.now_ms()
        if order.role:
            self.role = order.role
        if order.adapter and order.adapter not in self.adapters:
            self.adapters = (*self.adapters, order.adapter)

    def satisfies(self, order: messages.TargetOrder) -> bool:
        """Returns whether the target has what an order asks for."""
        if not self.is_up or self.loading_version or self.reported_loading:
            return False
        if order.model not in ("", self.model):
            return False
        return target_order_exchange.satisfies(self, order)

    def weights_load_left_ms(self) -> float:
        """Returns the expected remaining time of the weights load.

        It never falls below a tenth of the usual load time.
        """
        spent_ms = self._clock.now_ms() - self._load_started_ms
        return max(self.weights_load_ms / 10, self.weights_load_ms - spent_ms)


class TargetMonitor(app_api.Part):
    """Polls the target for its load."""

    def __init__(
        self,
        driver: targets_api.TargetDriver,
        state: TargetState,
        clock: clocks.Clock,
        poll_ms: float,
    ) -> None:
        self._driver = driver
        self._state = state
        self._clock = clock
        self._poll_ms = poll_ms
        self._tasks = app_api.TaskOwner()

    async def start(self) -> None:
        """Polls once and starts polling in the background."""
        await self._poll()
        self._tasks.spawn_with_restarts(self._run, "target:monitor")

    async def stop(self) -> None:
        """Stops polling."""
        await self._tasks.cancel_all()

    async def _run(self) -> None:
        failed_polls = 0
        while True:
            await self._clock.sleep(self._poll_ms)
            failed_polls = 0 if await self._poll() else failed_polls + 1
            if failed_polls >= MAX_FAILED_POLLS and self._state.is_up:
                self._state.is_up = False
                _LOG.warning("target_down")

    async def _poll(self) -> bool:
        try:
            load = await self._driver.fetch_load()
        except targets_api.NotSentError:
            # a refused connection proves that the target is down, so that no
            # further polls are needed
            self._state.is_up = False
            return False
        except targets_api.TargetError:
            return False
        if not self._state.is_up:
            _LOG.event("target_up", incarnation=load.incarnation)
        self._state.update_from_load(load)
        return True


__all__ = ["TargetMonitor", "TargetState"]
