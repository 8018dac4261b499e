"""Makes docs/FAULTS.md from docs/faults.ini and the scenarios' tags."""

from __future__ import annotations

import argparse
import configparser
import dataclasses
import pathlib
import re
import sys

from tools import run_tests

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "docs" / "faults.ini"
PAGE = ROOT / "docs" / "FAULTS.md"
TAG = re.compile(r"@cell\.([a-z_]+)\.([a-z_]+)\.([a-z_]+)")
PROMISE_TAG = re.compile(r"@promise\.([a-z_]+)")
SCENARIO = re.compile(r"^\s*Scenario(?: Outline)?:\s*(.*)$")


PROMISE = "promise."


@dataclasses.dataclass(frozen=True)
class Cell:
    """A fault at a step of an operation.

    Attributes:
        fault: The fault's name.
        operation: The operation's name.
        step: The step's name.
    """

    fault: str
    operation: str
    step: str

    def __str__(self) -> str:
        """Returns the cell as it stands in a tag."""
        return f"{self.fault}.{self.operation}.{self.step}"


@dataclasses.dataclass(frozen=True)
class Proof:
    """A scenario that proves a cell.

    Attributes:
        feature: Path of the feature file, relative to the repository.
        scenario: The scenario's name.
    """

    feature: str
    scenario: str


@dataclasses.dataclass
class Matrix:
    """All cells and what stands in them.

    Attributes:
        text_by_fault: What each fault is.
        steps_by_operation: Each operation's steps.
        reason_by_place: Why a fault can't meet an operation or step.
        proofs_by_cell: The scenarios that prove each cell.
        strays: Tags that name no cell and no promise.
        text_by_promise: What keeps each promise to callers and operators.
        proofs_by_promise: The scenarios that prove each promise.
    """

    text_by_fault: dict[str, str]
    steps_by_operation: dict[str, list[str]]
    reason_by_place: dict[str, str]
    proofs_by_cell: dict[Cell, list[Proof]]
    strays: list[str]
    text_by_promise: dict[str, str]
    proofs_by_promise: dict[str, list[Proof]]

    def cells(self) -> list[Cell]:
        """Returns every cell."""
        return [
            Cell(fault, operation, step)
            for operation, steps in self.steps_by_operation.items()
            for fault in self.text_by_fault
            for step in steps
        ]

    def reason(self, cell: Cell) -> str:
        """Returns why a cell cannot happen, or an empty text."""
        whole = f"{cell.fault}.{cell.operation}"
        return self.reason_by_place.get(
            str(cell), self.reason_by_place.get(whole, "")
        )

    def proved(self) -> list[Cell]:
        """Returns the cells that a scenario proves."""
        return [cell for cell in self.cells() if cell in self.proofs_by_cell]

    def excluded(self) -> list[Cell]:
        """Returns the cells that cannot happen."""
        return [
            cell
            for cell in self.cells()
            if cell not in self.proofs_by_cell and self.reason(cell)
        ]

    def unproved_promises(self) -> list[str]:
        """Returns the promises that no scenario proves."""
        return [
            name
            for name in self.text_by_promise
            if name not in self.proofs_by_promise
        ]

    def unproved(self) -> list[Cell]:
        """Returns the cells that neither is true of."""
        return [
            cell
            for cell in self.cells()
            if cell not in self.proofs_by_cell and not self.reason(cell)
        ]


def is_red(proof: Proof, tag: str, red: set[str]) -> bool:
    """Returns whether the row of a scenario that proves a tag is known red."""
    step = tag.rpartition(".")[2]
    name = f"{proof.feature}: {proof.scenario.replace('<step>', step)}"
    return any(known.split(" -- @")[0] == name for known in red)


def read_proofs() -> dict[str, list[Proof]]:
    """Returns the scenarios by the cell that their tags name."""
    red = run_tests.known_red()
    proofs_by_tag: dict[str, list[Proof]] = {}
    for feature in sorted((ROOT / "tests").rglob("*.feature")):
        name = str(feature.relative_to(ROOT))
        tags: list[str] = []
        for line in feature.read_text().splitlines():
            tags += [".".join(found) for found in TAG.findall(line)]
            tags += [f"{PROMISE}{name}" for name in PROMISE_TAG.findall(line)]
            scenario = SCENARIO.match(line)
            if scenario is None:
                continue
            proof = Proof(name, scenario[1])
            for tag in tags:
                if not is_red(proof, tag, red):
                    proofs_by_tag.setdefault(tag, []).append(proof)
            tags = []
    return proofs_by_tag


def read_matrix() -> Matrix:
    """Reads the cells, the exclusions and the scenarios' tags."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(SOURCE)
    steps = {name: text.split() for name, text in parser["steps"].items()}
    matrix = Matrix(
        dict(parser["faults"]),
        steps,
        dict(parser["excluded"]),
        {},
        [],
        dict(parser["promises"]),
        {},
    )
    known = {str(cell): cell for cell in matrix.cells()}
    for tag, proofs in read_proofs().items():
        promise = tag.removeprefix(PROMISE)
        if promise != tag and promise in matrix.text_by_promise:
            matrix.proofs_by_promise[promise] = proofs
        elif tag in known:
            matrix.proofs_by_cell[known[tag]] = proofs
        else:
            matrix.strays.append(tag)
    places = {place.rpartition(".")[0] for place in known} | set(known)
    matrix.strays += [
        place for place in matrix.reason_by_place if place not in places
    ]
    return matrix


def table(matrix: Matrix, operation: str) -> list[str]:
    """Returns the lines of one operation's table."""
    steps = matrix.steps_by_operation[operation]
    lines = [f"## {operation}", ""]
    lines.append("| fault | " + " | ".join(steps) + " |")
    lines.append("| --- |" + " --- |" * len(steps))
    for fault in matrix.text_by_fault:
        texts = []
        for step in steps:
            cell = Cell(fault, operation, step)
            if cell in matrix.proofs_by_cell:
                texts.append("proved")
            elif matrix.reason(cell):
                texts.append("cannot happen")
            else:
                texts.append("**not proved**")
        lines.append(f"| {fault} | " + " | ".join(texts) + " |")
    return [*lines, ""]


def promises(matrix: Matrix) -> list[str]:
    """Returns the lines that say what keeps and proves each promise."""
    lines = ["## Promises where entries reach targets directly", ""]
    lines += ["| promise | kept by | proved by |", "| --- | --- | --- |"]
    for name, text in matrix.text_by_promise.items():
        proofs = matrix.proofs_by_promise.get(name, [])
        shown = "; ".join(f"{p.scenario} (`{p.feature}`)" for p in proofs)
        lines.append(f"| {name} | {text} | {shown or '**not proved**'} |")
    return [*lines, ""]


def page(matrix: Matrix) -> str:
    """Returns the text of docs/FAULTS.md."""
    counts = (
        f"cells={len(matrix.cells())} proved={len(matrix.proved())}"
        f" excluded={len(matrix.excluded())}"
        f" unproved={len(matrix.unproved())}"
    )
    lines = ["# Fault matrix", "", counts, ""]
    lines += [
        "Made from `docs/faults.ini` and the tags of the scenarios under",
        "`tests/` by `python -m tools.fault_matrix --write`. A cell is proved",
        "by the scenarios listed at the end, which run in `make test`.",
        "Beside the cells, `tests/faults/storms.feature` strikes processes of",
        "every kind in orders drawn from seeds, some of them at once.",
        "",
    ]
    lines += ["| fault | what happens |", "| --- | --- |"]
    for fault, text in matrix.text_by_fault.items():
        lines.append(f"| {fault} | {text} |")
    lines.append("")
    for operation in matrix.steps_by_operation:
        lines += table(matrix, operation)
    lines += promises(matrix)
    lines += ["## What cannot happen, and why", ""]
    for place, reason in sorted(matrix.reason_by_place.items()):
        lines.append(f"- `{place}`: {reason}")
    lines += ["", "## Scenarios", ""]
    for cell in matrix.proved():
        for proof in matrix.proofs_by_cell[cell]:
            lines.append(f"- `{cell}`: {proof.scenario} (`{proof.feature}`)")
    return "\n".join(lines) + "\n"


def main() -> int:
    """Writes the page, or checks that it is current and lists the gaps.

    Returns:
        The exit code: 1 if a tag names no cell and no promise, a promise
        is not proved or the page is stale.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true")
    matrix = read_matrix()
    text = page(matrix)
    if parser.parse_args().write:
        PAGE.write_text(text)
    for cell in matrix.unproved():
        print(f"no scenario: {cell}")
    for name in matrix.unproved_promises():
        print(f"no scenario: {PROMISE}{name}")
    for stray in matrix.strays:
        print(f"names no cell: {stray}")
    current = PAGE.exists() and PAGE.read_text() == text
    if not current:
        print("docs/FAULTS.md is not current: run with --write")
    complete = not matrix.strays and not matrix.unproved_promises()
    return 0 if current and complete else 1


__all__ = ["Cell", "Matrix", "Proof", "main", "page", "read_matrix"]

if __name__ == "__main__":
    sys.exit(main())
