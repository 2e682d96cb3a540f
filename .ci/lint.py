#!/usr/bin/env python3
"""Lints the sources of a build folder with clang-tidy.

Usage: .ci/lint.py BUILD_DIR

A source that was clean is not linted again while it, everything that it
includes, its compiler flags, the checks and clang-tidy itself are the same.
What it includes is what the build recorded; a source without such a record is
always linted. Clean sources are remembered by the hash of all of these, in
$WISTERIAREEL_LINT_CACHE or ~/.cache/wisteriareel-lint.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
GENERATED = "proto/gen/"


def run(command, **options):
    return subprocess.run(
        command, capture_output=True, text=True, check=True, **options
    ).stdout


def read_includes(build):
    """Returns the files that each object of the build was made from."""
    includes = {}
    current = None
    for line in run(["ninja", "-C", str(build), "-t", "deps"]).splitlines():
        if line.startswith("    "):
            if current is not None:
                includes[current].append(line.strip())
        elif ": #deps" in line:
            name, _, state = line.partition(": #deps")
            current = None if "STALE" in state else name
            includes.setdefault(name, [])
    return includes


class Hasher:
    def __init__(self, build):
        self.build = build
        self.files = {}
        tool = run(["clang-tidy", "--version"])
        self.common = tool.encode() + (ROOT / ".clang-tidy").read_bytes()

    def of_file(self, path):
        if path not in self.files:
            self.files[path] = hashlib.sha256(path.read_bytes()).hexdigest()
        return self.files[path]

    def of_unit(self, unit, included):
        digest = hashlib.sha256(self.common)
        # The same source may be linted in clones at other places.
        flags = unit["command"].replace(str(self.build), "BUILD")
        digest.update(flags.replace(str(ROOT), "ROOT").encode())
        for name in sorted(included):
            path = (self.build / name).resolve()
            known_as = os.path.relpath(path, ROOT)
            if known_as.startswith(".."):
                known_as = str(path)
            digest.update(f"{known_as} {self.of_file(path)}\n".encode())
        return digest.hexdigest()


def lint(build, source):
    result = subprocess.run(
        ["clang-tidy", "--quiet", "-p", str(build), source],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return result.returncode == 0, result.stdout


def main():
    build = (ROOT / sys.argv[1]).resolve()
    default = pathlib.Path.home() / ".cache" / "wisteriareel-lint"
    cache = pathlib.Path(os.environ.get("WISTERIAREEL_LINT_CACHE", default))
    cache.mkdir(parents=True, exist_ok=True)
    sources = {
        name
        for name in run(["git", "ls-files", "--", "*.cc"], cwd=ROOT).split()
        if not name.startswith(GENERATED)
    }
    units = {}
    for unit in json.loads((build / "compile_commands.json").read_text()):
        units[os.path.relpath(unit["file"], ROOT)] = unit
    missing = sorted(sources - units.keys())
    if missing:
        sys.exit("sources that the build doesn't know: " + ", ".join(missing))
    includes = read_includes(build)
    hasher = Hasher(build)
    todo = {}
    for source in sorted(sources):
        made = re.search(r" -o (\S+)", units[source]["command"]).group(1)
        included = includes.get(made)
        key = hasher.of_unit(units[source], included) if included else None
        if key is None or not (cache / key).exists():
            todo[source] = key
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        runs = {pool.submit(lint, build, source): source for source in todo}
        for done in concurrent.futures.as_completed(runs):
            clean, report = done.result()
            if not clean:
                failed += 1
                print(f"{runs[done]}:\n{report}", flush=True)
            elif todo[runs[done]] is not None:
                (cache / todo[runs[done]]).touch()
    print(
        f"lint: {len(sources)} sources, {len(todo)} of them linted now,"
        f" {failed} with findings"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
