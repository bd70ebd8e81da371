"""Shared library of the magnoliagrade load balancer.

The package has what every process of the system needs: the objects that are balanced
(`world`), algorithms on plain data (`algorithms`), the operators' configuration
(`configuration`), messages between processes (`wire`), clients of the operators'
platform (`platform`), and logs, traces and metrics (`observability`).
"""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["ErrorKind", "MagnoliagradeError", "__version__"]

__version__ = "0.1.0"
