"""Control instances that run as processes."""

from __future__ import annotations

import itertools
import shutil

from tests.support import fault_proxy
from tests.support import processes


class ControlGroup:
    """Control instances c1, c2 and so on, each on its own ports."""

    def __init__(self, group, size=3, proxies=None, **options):
        self.group = group
        self.options = options
        self.names = [f"c{number + 1}" for number in range(size)]
        take = processes.PORTS.take
        self.wire_port = {name: take() for name in self.names}
        self.http_port = {name: take() for name in self.names}
        self.member_port = dict(self.wire_port)
        self.proxy_by_name = {}
        if proxies is not None:
            for name, port in self.wire_port.items():
                proxy = proxies.enter_context(fault_proxy.FaultProxy(port))
                self.proxy_by_name[name] = proxy
                self.member_port[name] = proxy.port
        self.members = ",".join(
            f"{name}@{processes.HOST}:{self.member_port[name]}"
            for name in self.names
        )
        self.change_ids = itertools.count(1)
        for name in self.names:
            self.prepare(name)

    def data_folder(self, name):
        return self.group.folder / f"{name}-data"

    def prepare(self, name):
        settings = self.group.folder / f"{name}.ini"
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
            f"data_folder = {self.data_folder(name)}",
            f"operator_port = {self.http_port[name]}",
        ]
        lines += [f"{key} = {value}" for key, value in self.options.items()]
        settings.write_text("\n".join(lines) + "\n")
        command = ("-m", "lycheering", "control", str(settings))
        self.group.prepare(name, *command)

    def start(self, *names):
        for name in names or self.names:
            self.group[name].start()

    def wait_ready(self, *names):
        for name in names or self.names:
            processes.wait_for(
                lambda name=name: self.is_ready(name), f"{name} to be ready"
            )

    def is_ready(self, name):
        return self.call(name, "GET", "/health/ready").status == 200

    def kill(self, *names):
        for name in names:
            self.group[name].kill()

    def lose_disk(self, name):
        self.kill(name)
        shutil.rmtree(self.data_folder(name))

    def running(self):
        return [name for name in self.names if self.group[name].running]

    def call(self, name, method, path, body=None, headers=None, timeout_s=10):
        return processes.call(
            self.http_port[name], method, path, body, headers, timeout_s
        )

    def settled(self, name, method, path, body=None):
        """Repeats a call until the instance knows a leader."""

        def answered():
            answer = self.call(name, method, path, body)
            return answer if answer.status != 503 else None

        return processes.wait_for(answered, f"{name} to have a leader")

    def leader(self, *names):
        """Returns the leader that the instances agree on."""
        asked = names or self.running()

        def agreed():
            found = {
                self.call(name, "GET", "/health/ready").json["leader"]
                for name in asked
            }
            return found.pop() if len(found) == 1 else ""

        return processes.wait_for(agreed, "one leader")

    def new_change(self, operator="ada", reason="the test asks", **members):
        """Returns the body of a change with a new id."""
        return {
            "change_id": f"change-{next(self.change_ids)}",
            "operator": operator,
            "reason": reason,
            **members,
        }

    def set_default(self, name, option, value):
        """Sets a default, resending the change until its outcome is known."""
        body = self.new_change(option=option, value=value)

        def decided():
            if "expected_revision" not in body:
                answer = self.call(name, "GET", "/v1/defaults").json
                if not answer["current"]:
                    return None
                body["expected_revision"] = answer["config_revision"]
            answer = self.call(name, "POST", "/v1/defaults", body)
            return answer if answer.status != 503 else None

        return processes.wait_for(decided, f"{option} to be set")

    def defaults(self, name):
        return self.call(name, "GET", "/v1/defaults").json

    def value(self, name, option):
        """Returns an option's default and whether the answer was current."""
        answer = self.defaults(name)
        row = next(row for row in answer["defaults"] if row["option"] == option)
        return row["value"], answer["current"]
