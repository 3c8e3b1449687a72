"""Runs clang-tidy on sources in parallel; a unit that passed before is not analysed again.

A result is kept under the hash of all that clang-tidy sees: its version, the configuration and
the preprocessed unit with comments and macro definitions. Only passes are kept, in the folder
LINT_CACHE (by default ~/.cache/curranthoist-lint), so a clean clone elsewhere, or any change
of a header, is analysed as the first time.

usage: lint.py BUILD_FOLDER FILE...
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

TIDY = "clang-tidy-14"
COMPILER = "clang++-14"
NOISE = re.compile(r"warnings? generated|^Suppressed|^Use -header-filter")


def cache_folder():
    default = pathlib.Path.home() / ".cache" / "curranthoist-lint"
    folder = pathlib.Path(os.environ.get("LINT_CACHE", default))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def preprocess_command(command):
    """The compiler call of a unit as one that writes all that an analysis can depend on."""
    words = shlex.split(command)
    while words and not words[0].endswith(("c++", "g++", "clang++", "clang++-14")):
        words.pop(0)
    kept = []
    skip = False
    for word in words[1:]:
        if skip:
            skip = False
        elif word in ("-o", "-MF", "-MT"):
            skip = True
        elif word not in ("-c", "-MD"):
            kept.append(word)
    return [COMPILER, *kept, "-E", "-C", "-dD"]


def unit_key(entry, base):
    """The hash of a unit, or None if it can't be preprocessed; clang-tidy then says why."""
    result = subprocess.run(preprocess_command(entry["command"]), cwd=entry["directory"],
                            capture_output=True, check=False)
    if result.returncode != 0:
        return None
    text = result.stdout.replace(os.getcwd().encode(), b"")
    return hashlib.sha256(base + text).hexdigest()


def lint(file, build, entries, base, cache):
    """The findings in one file, as clang-tidy prints them; empty if there are none."""
    entry = entries.get(os.path.abspath(file))
    key = unit_key(entry, base) if entry else None
    if key and (cache / key).exists():
        return ""
    result = subprocess.run([TIDY, "-p", build, "--quiet", file], stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT, text=True, check=False)
    lines = [line for line in result.stdout.splitlines() if line and not NOISE.search(line)]
    if result.returncode != 0 and not lines:
        lines = [f"{file}: {TIDY} ended with {result.returncode}"]
    if key and not lines:
        (cache / key).touch()
    return "\n".join(lines)


def main():
    build, files = sys.argv[1], sys.argv[2:]
    with open(os.path.join(build, "compile_commands.json"), encoding="utf-8") as listed:
        entries = {os.path.normpath(os.path.join(one["directory"], one["file"])): one
                   for one in json.load(listed)}
    version = subprocess.run([TIDY, "--version"], capture_output=True, check=True).stdout
    base = version + pathlib.Path(".clang-tidy").read_bytes()
    cache = cache_folder()
    found = False
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        jobs = [pool.submit(lint, file, build, entries, base, cache) for file in files]
        for job in jobs:
            if text := job.result():
                found = True
                print(text, flush=True)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
