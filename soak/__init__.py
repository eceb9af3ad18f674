"""Randomized soak test of real node processes under injected faults."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))
