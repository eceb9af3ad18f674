"""Measures what each mechanism of the routed path contributes.

Plays days of deployments with one mechanism disabled after the other, with the
users' bench, and writes a table of the worth with and without each:

    bench/ablation.py --bench PATH --copy DIR --out FILE SITE:DAY:SEED ...

DIR is a copy of the repository; its settings template is changed. The plays of
one mechanism run side by side, at most `--jobs` of them.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys

BASELINE = "(all enabled)"
WORTH = re.compile(r"^worth (-?[\d.]+) =", re.MULTILINE)


def known_mechanisms(copy):
    """Reads the names from the array that the settings reader uses."""
    source = (copy / "src/jujubespan/policy/mechanism.cpp").read_text()
    array = source[source.index("names{"):source.index("};")]
    return re.findall(r'"(\w+)"', array)


def play(options, name, item):
    """Returns the worth of one day; None if it was not played to its end."""
    site, day, seed = item.rsplit(":", 2)
    command = [options.bench, "run", site, day, "--seed", seed, "--jobs", "1",
               "--why", f"Ablation: {name} disabled"]
    result = subprocess.run(command, cwd=options.copy, capture_output=True,
                            text=True, check=False)
    found = WORTH.search(result.stdout)
    if found is None:
        print(f"{name} {item}: {result.stdout[-300:]}{result.stderr[-300:]}",
              file=sys.stderr)
    return float(found[1]) if found else None


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--copy", required=True, type=pathlib.Path)
    parser.add_argument("--out", required=True, type=pathlib.Path)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", nargs="*", help="mechanisms; default: all")
    parser.add_argument("plays", nargs="+", metavar="SITE:DAY:SEED")
    options = parser.parse_args()
    template = options.copy / "deploy/node.json"
    original = template.read_text()
    names = known_mechanisms(options.copy)
    unknown = set(options.only or []) - set(names)
    if unknown:
        parser.error(f"unknown mechanisms: {', '.join(sorted(unknown))}")
    short = [f"{pathlib.Path(p.split(':')[0]).stem} {p.split(':', 1)[1]}"
             for p in options.plays]
    rows = ["| disabled | " + " | ".join(short) + " | mean change |",
            "|---" * (len(short) + 2) + "|"]
    baseline = None
    try:
        for name in [BASELINE, *(options.only or names)]:
            setting = "" if name == BASELINE else (
                f'  "disabled_mechanisms": ["{name}"],\n')
            template.write_text(original.replace("{\n", "{\n" + setting, 1))
            with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
                worths = list(pool.map(lambda item: play(options, name, item),
                                       options.plays))
            baseline = baseline or worths
            changes = [worth - before for worth, before in zip(worths, baseline)
                       if worth is not None and before is not None]
            mean = sum(changes) / len(changes) if changes else float("nan")
            cells = ["-" if worth is None else f"{worth:.3f}" for worth in worths]
            rows.append(f"| {name} | " + " | ".join(cells) + f" | {mean:+.3f} |")
            options.out.write_text("\n".join(rows) + "\n")
    finally:
        template.write_text(original)


if __name__ == "__main__":
    main()
