"""The oleanderdeal program: every role as a command."""
