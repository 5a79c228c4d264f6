"""Run the program with `python -m oleanderdeal`."""

from oleanderdeal import main

main.main()
