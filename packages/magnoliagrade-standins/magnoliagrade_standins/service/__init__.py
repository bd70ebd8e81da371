"""Stand-in for a plain service."""

from magnoliagrade_standins.service.service import PlainService, make_service_app

__all__ = ["PlainService", "make_service_app"]
