"""Entry point of ``cowslip-entry``: handles signals before the slow imports."""

import gc
import os
import signal

# The default action of SIGHUP ends the process. A reload requested before the settings
# have been read needs no action, since they are read afterwards anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Pydantic would otherwise scan all installed packages for plugins.
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "1"

# Nearly all objects created by imports stay alive, so collections would be wasted.
gc.disable()

from cowslipcourse.entry.main import main  # noqa: E402

gc.freeze()
gc.enable()

__all__ = ["main"]

if __name__ == "__main__":
    main()
