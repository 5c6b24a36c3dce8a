"""Start of ``cowslip-entry``: ready for signals before anything large is imported."""

import gc
import os
import signal

# By default the signal ends a process. Until the settings can be read again there is
# nothing to do: they will be read for the first time after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The HTTP client reads all certificate authorities of the VM when it is imported, and
# nothing here speaks TLS.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
# The settings library would look through all installed packages for plugins.
os.environ["PYDANTIC_DISABLE_PLUGINS"] = "1"

# Nearly all that imports make is kept, so collecting garbage meanwhile is lost time.
gc.disable()

from cowslipcourse.entry.main import main  # noqa: E402

gc.freeze()
gc.enable()

__all__ = ["main"]

if __name__ == "__main__":
    main()
