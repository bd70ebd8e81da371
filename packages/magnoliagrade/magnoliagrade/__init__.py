"""Shared library of the magnoliagrade load balancer.

The package holds what every process of the system needs: the objects of the
world it balances (`world`), plain algorithms over plain data (`algorithms`),
the operators' configuration (`configuration`), messages between own processes
(`wire`), clients of the platform (`platform`), and logs, traces and metrics
(`observability`).
"""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["ErrorKind", "MagnoliagradeError", "__version__"]

__version__ = "0.1.0"
