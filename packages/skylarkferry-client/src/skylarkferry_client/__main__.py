"""Run the command line with ``python -m skylarkferry_client``."""

from skylarkferry_client.main import main

if __name__ == "__main__":
    main()
