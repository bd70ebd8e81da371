"""Stand-in for a model engine."""

from magnoliagrade_standins.engine.engine import (
    Engine,
    EngineProfile,
    EngineRequest,
    expected_text,
)
from magnoliagrade_standins.engine.server import make_engine_app

__all__ = [
    "Engine",
    "EngineProfile",
    "EngineRequest",
    "expected_text",
    "make_engine_app",
]
