"""Tests in which clients and servers try to exhaust a node's resources."""

import soak  # noqa: F401  Makes the store stand-in importable.
