"""Decoding of the operators' configuration."""

from magnoliagrade.platform.fields import (
    FormatError,
    boolean_field,
    decoder,
    load_object,
    number_field,
    object_list_field,
    optional_object,
    string_field,
)
from magnoliagrade.world.site import (
    BackEndService,
    EngineProfile,
    RouteKind,
    ServiceRoute,
    ServiceShare,
    SiteConfiguration,
    SiteLimits,
    SiteOrganisation,
)

__all__ = ["decode_configuration"]

_KIND_BY_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
SECONDS_PER_MS = 1e-3


@decoder
def decode_configuration(data):
    """Return the operators' configuration, decoded from JSON.

    Parameters
    ----------
    data : bytes
        Value of the operators' configuration key.

    Returns
    -------
    configuration : SiteConfiguration
        The complete configuration, with times in seconds.

    Raises
    ------
    FormatError
        If a required field is missing, or a field has another type or an unknown
        value.
    """
    document = load_object(data)
    services = [_service(item) for item in object_list_field(document, "Services")]
    tenants = (
        object_list_field(document, "Tenants", None) if "Tenants" in document else None
    )
    return SiteConfiguration(
        version=number_field(document, "Version"),
        routes=[_route(item) for item in object_list_field(document, "Routes")],
        service_by_name={service.name: service for service in services},
        organisation_by_key=None if tenants is None else _organisations(tenants),
        limits=_limits(optional_object(document, "Limits") or {}),
    )


def _route(document):
    kind = string_field(document, "Kind")
    if kind not in _KIND_BY_NAME:
        raise FormatError(
            f"Kind: unknown kind {kind!r} of route {document.get('Name')!r}"
        )
    if "Split" in document:
        shares = [
            ServiceShare(
                service=string_field(share, "Service"),
                weight=number_field(share, "Weight"),
            )
            for share in object_list_field(document, "Split")
        ]
    else:
        shares = [ServiceShare(service=string_field(document, "Service"), weight=1.0)]
    return ServiceRoute(
        name=string_field(document, "Name"),
        host=string_field(document, "Host").lower(),
        prefix=string_field(document, "Prefix"),
        kind=_KIND_BY_NAME[kind],
        shares=shares,
        timeout_s=number_field(document, "TimeoutMs") * SECONDS_PER_MS,
        objective_s=number_field(document, "TargetLatencyMs", 0) * SECONDS_PER_MS,
        gap_objective_s=number_field(document, "GapAimMs", 0) * SECONDS_PER_MS,
        priority=int(number_field(document, "Priority", 5)),
        max_endpoints=max(1, int(number_field(document, "MaxAttempts", 1))),
        is_public=boolean_field(document, "Public"),
        is_resumable=boolean_field(document, "Resumable"),
    )


def _service(document):
    engine = optional_object(document, "Engine")
    return BackEndService(
        name=string_field(document, "Name"),
        max_connections=int(number_field(document, "MaxConns", 0)),
        cold_per_s=number_field(document, "ColdPerS", 0),
        cold_start_s=number_field(document, "ColdStartS", 0),
        engine=None if engine is None else _engine(engine),
    )


def _engine(document):
    mean_tokens = optional_object(document, "usual") or {}
    return EngineProfile(
        slots=int(number_field(document, "Slots")),
        step_s=number_field(document, "step_ms") * SECONDS_PER_MS,
        sequence_s=number_field(document, "per_seq_ms") * SECONDS_PER_MS,
        context_1000_s=number_field(document, "context_per_k") * SECONDS_PER_MS,
        read_tokens_per_s=number_field(document, "read_per_s"),
        steps_per_pass=int(number_field(document, "Stride", 1)),
        usual_prompt=number_field(mean_tokens, "prompt", 0),
        usual_answer=number_field(mean_tokens, "answer", 0),
        sets=int(number_field(document, "Sets", 0)),
        experts=int(number_field(document, "Experts", 0)),
        places=int(number_field(document, "Places", 0)),
        spare=int(number_field(document, "Spare", 0)),
        expert_share=number_field(document, "ExpertShare", 0),
        expert_mb=number_field(document, "ExpertMb", 0),
    )


def _organisations(tenants):
    organisation_by_key = {}
    for document in tenants:
        priority = document.get("Priority")
        organisation = SiteOrganisation(
            name=string_field(document, "Name"),
            priority=None
            if priority is None
            else int(number_field(document, "Priority")),
        )
        for key in document.get("ApiKeys") or ():
            organisation_by_key[key] = organisation
    return organisation_by_key


def _limits(document):
    defaults = SiteLimits()
    return SiteLimits(
        header_bytes=int(
            number_field(document, "MaxHeaderBytes", defaults.header_bytes)
        ),
        body_bytes=int(number_field(document, "MaxBodyBytes", defaults.body_bytes)),
        header_timeout_s=number_field(
            document, "HeaderTimeoutMs", defaults.header_timeout_s / SECONDS_PER_MS
        )
        * SECONDS_PER_MS,
        idle_timeout_s=number_field(
            document, "IdleTimeoutMs", defaults.idle_timeout_s / SECONDS_PER_MS
        )
        * SECONDS_PER_MS,
    )
