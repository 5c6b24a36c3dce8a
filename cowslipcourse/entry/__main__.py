"""Start of ``cowslip-entry``: ready for signals before anything large is imported."""

import signal

# By default the signal ends a process. Until the settings can be read again there is
# nothing to do: they will be read for the first time after this.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from cowslipcourse.entry.main import main  # noqa: E402

__all__ = ["main"]

if __name__ == "__main__":
    main()
