"""Runs the tests one at a time, except those listed in KNOWN-RED.txt.

With arguments, runs only the tests whose names contain one of them, listed or
not.
"""

import sys
import unittest

from soak import ROOT

TEST_FILES = "*_test.py"
KNOWN_PREFIX = "test: "


def known_failures():
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.removeprefix(KNOWN_PREFIX).strip() for line in lines
            if line.startswith(KNOWN_PREFIX)}


def all_tests(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from all_tests(item)
        else:
            yield item


def main():
    loader = unittest.TestLoader()
    tests = list(all_tests(loader.discover(
        str(ROOT / "exhaustion"), TEST_FILES, str(ROOT))))
    names = sys.argv[1:]
    known = known_failures()
    chosen = [test for test in tests
              if (any(name in test.id() for name in names) if names
                  else test.id() not in known)]
    result = unittest.TextTestRunner(verbosity=2).run(
        unittest.TestSuite(chosen))
    print(f"{len(tests) - len(chosen)} of {len(tests)} tests passed over")
    return 0 if result.wasSuccessful() else 1


if __name__ == "__main__":
    sys.exit(main())
