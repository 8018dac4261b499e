"""Starts one role of lycheering from a checkout."""

import gc
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

# nothing that is loaded now is ever collected
gc.disable()

from lycheering import reload_signal  # noqa: E402

reload_signal.hold()

from lycheering.platform import start  # noqa: E402

if __name__ == "__main__":
    sys.exit(start.run(sys.argv[1]))
