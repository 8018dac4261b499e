"""Three control instances as real processes."""

from __future__ import annotations

import itertools
import pathlib

from tests.support import processes

RUNNER = (
    "import sys; from lycheering.settings import load;"
    " from lycheering.control import daemon;"
    " daemon.main(load.load(sys.argv[1]))"
)


class ControlGroup:
    """Control instances c1, c2 and so on, on ports of their own."""

    def __init__(self, group, folder, size=3, **options):
        self.group = group
        self.folder = pathlib.Path(folder)
        self.options = options
        self.names = [f"c{number + 1}" for number in range(size)]
        self.wire_port = {name: processes.free_port() for name in self.names}
        self.http_port = {name: processes.free_port() for name in self.names}
        self.members = ",".join(
            f"{name}@127.0.0.1:{self.wire_port[name]}" for name in self.names
        )
        self.change_ids = itertools.count(1)
        for name in self.names:
            self.prepare(name)

    def prepare(self, name, data_folder=None, join=False):
        settings = self.folder / f"{name}.ini"
        folder = data_folder or self.folder / f"{name}-data"
        lines = [
            "[instance]",
            f"name = {name}",
            f"failure_domain = fd-{name}",
            "drain_timeout_ms = 5000",
            "[wire]",
            f"port = {self.wire_port[name]}",
            "[control]",
            f"members = {self.members}",
            "[log_store]",
            f"data_folder = {folder}",
            f"operator_port = {self.http_port[name]}",
            f"join = {str(join).lower()}",
        ]
        lines += [f"{key} = {value}" for key, value in self.options.items()]
        settings.write_text("\n".join(lines) + "\n")
        return self.group.add(
            name,
            ["-c", RUNNER, str(settings)],
            self.folder / f"{name}.log",
        )

    def start(self, *names):
        for name in names or self.names:
            self.group[name].start()
        self.wait_ready(*names)

    def wait_ready(self, *names):
        for name in names or self.names:
            processes.wait_for(
                lambda name=name: (
                    self.call(name, "GET", "/health/ready").status == 200
                ),
                f"{name} to be ready",
            )

    def call(self, name, method, path, body=None, headers=None, timeout_s=10):
        return processes.call(
            self.http_port[name], method, path, body, headers, timeout_s
        )

    def leader(self, *names):
        """Returns the leader that a majority of the named ones agree on."""
        asked = names or self.names

        def agreed():
            found = [
                self.call(name, "GET", "/health/ready").json["leader"]
                for name in asked
            ]
            return found[0] if len(set(found)) == 1 and found[0] else ""

        return processes.wait_for(agreed, "one leader")

    def revision(self, name):
        return self.call(name, "GET", "/v1/defaults").json["config_revision"]

    def change(self, operator="ada", reason="the test asks", **members):
        """Returns the body of a change with an id of its own."""
        return {
            "change_id": f"change-{next(self.change_ids)}",
            "operator": operator,
            "reason": reason,
            **members,
        }

    def set_default(self, name, option, value, **members):
        """Sets a default, again and again under one id until it is done."""
        body = self.change(option=option, value=value, **members)

        def done():
            if "expected_revision" not in members:
                body["expected_revision"] = self.revision(name)
            answer = self.call(name, "POST", "/v1/defaults", body)
            if answer.status == 503:
                # its outcome may be unknown, so it keeps its numbers
                members["expected_revision"] = body["expected_revision"]
                return None
            return answer

        return processes.wait_for(done, f"{option} to be set")

    def value(self, name, option):
        answer = self.call(name, "GET", "/v1/defaults").json
        row = next(row for row in answer["defaults"] if row["option"] == option)
        return row["value"]
