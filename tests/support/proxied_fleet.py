"""A whole fleet with a fault proxy on every connection between processes."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile

from bench import fleet
from tests.support import fault_proxy
from tests.support import process_logs


class ProxyBoard:
    """The proxies of a fleet.

    Attributes:
        proxy_by_link: Each proxy by source and destination; agents and
            entries have one for all sources, named `*`.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.proxy_by_link: dict[tuple[str, str], fault_proxy.FaultProxy] = {}
        self._stack = stack

    def route(self, source: str, destination: str, port: int) -> int:
        """Returns the port of the proxy between two processes."""
        if source == destination or port == 0:
            return port
        link = (source, destination)
        if link not in self.proxy_by_link:
            proxy = fault_proxy.FaultProxy(port)
            self.proxy_by_link[link] = self._stack.enter_context(proxy)
        return int(self.proxy_by_link[link].port)

    def to(self, destination):
        """Returns the proxies in front of a process."""
        return [
            proxy
            for (_, name), proxy in self.proxy_by_link.items()
            if name == destination
        ]

    def around(self, name: str) -> list[fault_proxy.FaultProxy]:
        """Returns the proxies on either side of a process."""
        return [
            proxy for link, proxy in self.proxy_by_link.items() if name in link
        ]

    def isolate(self, name: str) -> None:
        """Cuts a process off from all others, closing nothing."""
        for proxy in self.around(name):
            proxy.cut(*fault_proxy.BOTH)

    def rejoin(self, name: str) -> None:
        """Ends what isolate began."""
        for proxy in self.around(name):
            proxy.heal(*fault_proxy.BOTH)


class ProxiedFleet(fleet.Fleet):
    """A fleet whose connections all pass through a board of proxies."""

    def __init__(self, plan, folder, board):
        super().__init__(plan, folder, board.route)
        self.board = board

    def member_port(self, name):
        return self._member_ports[name]

    def kill(self, name):
        self.group.process_by_name[name].kill()

    def restart(self, name):
        self.kill(name)
        self.group.process_by_name[name].start()


@contextlib.contextmanager
def running(plan):
    """Yields a started fleet and ends every process of it."""
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(prefix="lycheering-test-")
        )
        board = ProxyBoard(stack)
        started = ProxiedFleet(plan, pathlib.Path(folder), board)
        stack.callback(started.close)
        stack.enter_context(process_logs.watched(started.group))
        started.start()
        yield started


__all__ = ["ProxiedFleet", "ProxyBoard", "running"]
