"""Engines that differ in their software version."""

from cowsliprill.decisions import model


def decode_engine(version: str, number: int = 0) -> model.Endpoint:
    """Returns a decode engine of the pool `llm`."""
    return model.Endpoint(
        id=f"d{number}",
        kind=model.EndpointKind.DECODE,
        host="h",
        port=1,
        availability_zone="a",
        pool="llm",
        slots=1,
        software_version=version,
    )


def decode_engines(*versions: str) -> list[model.Endpoint]:
    """Returns a decode engine of each version."""
    return [
        decode_engine(version, number)
        for number, version in enumerate(versions)
    ]
