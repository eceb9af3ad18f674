"""Randomized fault soak: real nodes as processes, faults from outside."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.append(str(ROOT / "platform"))
