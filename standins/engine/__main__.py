"""Command line of the engine stand-in."""

from __future__ import annotations

import argparse

from standins import serving
from standins.engine import batch
from standins.engine import server


def parse_settings(parsed: argparse.Namespace) -> server.EngineSettings:
    """Returns the settings that the command line names."""
    timing = batch.Timing(
        slots=parsed.slots,
        prefill_ms_per_piece=parsed.prefill_ms_per_piece,
        base_ms=parsed.base_ms,
        token_ms=parsed.token_ms,
        import_ms_per_piece=parsed.import_ms_per_piece,
        grace_ms=parsed.grace_ms,
    )
    return server.EngineSettings(
        model=parsed.model,
        weights_version=parsed.weights_version,
        capacity_blocks=parsed.capacity_blocks,
        timing=timing,
        load_lag_ms=parsed.load_lag_ms,
        weight_store=parsed.weight_store,
        kv_store=parsed.kv_store,
        check_fencing=parsed.check_fencing,
        incarnation=parsed.incarnation,
    )


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    result = argparse.ArgumentParser(prog="python -m standins.engine")
    add = result.add_argument
    defaults = server.EngineSettings()
    timing = batch.Timing()
    add("--port", type=int, default=0)
    add("--model", default=defaults.model)
    add("--weights-version", default=defaults.weights_version)
    add("--capacity-blocks", type=int, default=defaults.capacity_blocks)
    add("--slots", type=int, default=timing.slots)
    add(
        "--prefill-ms-per-piece",
        type=float,
        default=timing.prefill_ms_per_piece,
    )
    add("--base-ms", type=float, default=timing.base_ms)
    add("--token-ms", type=float, default=timing.token_ms)
    add("--import-ms-per-piece", type=float, default=timing.import_ms_per_piece)
    add("--grace-ms", type=float, default=timing.grace_ms)
    add("--load-lag-ms", type=float, default=defaults.load_lag_ms)
    add("--weight-store", default="", help="URL of the weight store")
    add("--kv-store", default="", help="URL of the store of kept blocks")
    add("--check-fencing", action="store_true")
    add("--incarnation", default="")
    return result


def main() -> None:
    """Serves one engine."""
    parsed = parser().parse_args()
    engine = server.Engine(parse_settings(parsed))
    serving.run(engine.app, parsed.port)


if __name__ == "__main__":
    main()
