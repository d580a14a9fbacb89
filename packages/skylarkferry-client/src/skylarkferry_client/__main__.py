"""Run the command line as a module."""

from skylarkferry_client.main import main

if __name__ == "__main__":
    main()
