"""Run the daemon as a module."""

from skylarkferry_daemon.main import main

if __name__ == "__main__":
    main()
