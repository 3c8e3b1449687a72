"""Writes docs/fault-matrix.md from docs/fault-matrix.toml and the results of a test run.

A cell of the table counts as proved only if every test that it names ran and passed. Usage:
fault_matrix.py <build folder>; the folder must hold test-results.xml from scripts/test.
"""

import collections
import sys
import tomllib
import xml.etree.ElementTree

HEADER = """# Fault matrix

Written by `scripts/fault_matrix.py` from `docs/fault-matrix.toml` and a run of `scripts/test`; do not edit. A cell is
*proved* only if every test that it names ran and passed in that run. Empty cells of steps against faults are not proved.
"""


def results(path):
    passed = {}
    for case in xml.etree.ElementTree.parse(path).getroot().iter("testcase"):
        passed[case.get("name")] = case.get("status") == "run"
    return passed


def verdict(cell, passed):
    if "not_applicable" in cell:
        return "not applicable: " + cell["not_applicable"]
    wanted = cell.get("tests", [])
    missing = [name for name in wanted if not passed.get(name)]
    if not wanted or missing:
        reason = cell.get("gap") or "did not pass: " + ", ".join(missing)
        return "**not proved**: " + reason
    note = f" ({cell['gap']})" if "gap" in cell else ""
    return "proved by " + ", ".join(f"`{name}`" for name in wanted) + note


def section(title, cells, passed, columns):
    lines = [f"\n## {title}\n", "| " + " | ".join(columns) + " | verdict |",
             "|" + "---|" * (len(columns) + 1)]
    for cell in cells:
        lines.append("| " + " | ".join(cell[key] for key in columns) + " | "
                     + verdict(cell, passed) + " |")
    return lines


def tally(cells, passed):
    words = collections.Counter(
        verdict(cell, passed).split(":")[0].split(" by ")[0].strip("*") for cell in cells)
    return ", ".join(f"{count} {word}" for word, count in sorted(words.items()))


def main():
    with open("docs/fault-matrix.toml", "rb") as file:
        table = tomllib.load(file)
    passed = results(f"{sys.argv[1]}/test-results.xml")
    cells = table["cell"]
    platform = table["platform"]
    lines = [HEADER, f"{len(cells)} cells: {tally(cells, passed)}. The platform's programs: "
             f"{len(platform)} rows, {tally(platform, passed)}."]
    for step in dict.fromkeys(cell["step"] for cell in cells):
        lines += section(step, [cell for cell in cells if cell["step"] == step], passed,
                         ["fault", "expected"])
    lines += section("The platform's programs", table["platform"], passed, ["rule", "fault"])
    lines += section("Broken rules that turn a check red", table["broken_rule"], passed,
                     ["requirement", "rule"])
    with open("docs/fault-matrix.md", "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
